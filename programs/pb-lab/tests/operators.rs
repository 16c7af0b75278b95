//! The operator's commands on a running fleet.

#![allow(clippy::unwrap_used)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use pb_ctl::command;
use pb_ctl::exit::Answer;
use pb_ctl::exit::Exit;
use pb_ctl::fleet::Fleet;
use pb_lab::fleet;
use pb_lab::fleet::Files;
use pb_lab::fleet::Part;
use pb_lab::upstream::Ledger;
use pb_lab::upstream::Setup;

const SERVICE: &str = "{\"service\": \"herd\", \"owner\": \"o\", \"floor\": FLOOR,\n\
    \"routes\": [{\"id\": \"register\", \"prefix\": \"/herd\", \"methods\": [\"GET\"]}]}";

struct Stage {
    files: Files,
    control: Option<Part>,
    proxy: Option<Part>,
    upstreams: Vec<Part>,
    callers: SocketAddr,
    operator: Fleet,
}

impl Stage {
    fn start() -> Self {
        let files = Files::create().unwrap();
        let (control, control_address) = fleet::control(&files, "control-0").unwrap();
        let (proxy, addresses) =
            fleet::proxy(&files, "host-0", "a", &[control_address], &[]).unwrap();
        let upstreams = (0..2).map(|number| {
            let setup = Setup {
                id: format!("upstream-{number}"),
                service: "herd".to_owned(),
                zone: "a".to_owned(),
                listen: "127.0.0.1:0".parse().unwrap(),
                slots: 3,
                work: Duration::from_millis(1),
                proxies: vec![addresses.platform],
                seed: number,
            };
            fleet::upstream(setup, Ledger::new()).unwrap().0
        });
        Self {
            upstreams: upstreams.collect(),
            operator: fleet::operator_with(&files, &[control_address], &[addresses.peers]).unwrap(),
            files,
            control: Some(control),
            proxy: Some(proxy),
            callers: addresses.callers,
        }
    }

    fn ctl(&self, line: &str) -> Answer {
        ctl(&self.operator, line)
    }

    fn expect(&self, line: &str, exit: Exit, text: &str) -> Answer {
        let answer = self.ctl(line);
        assert_eq!(answer.exit, exit, "{line}: {answer:?}");
        assert!(answer.text.contains(text), "{line}: {answer:?}");
        answer
    }

    fn publish(&self, floor: &str) -> String {
        let folder = self.files.folder().join("services");
        std::fs::create_dir_all(&folder).unwrap();
        let text = SERVICE.replace("FLOOR", floor);
        std::fs::write(folder.join("herd.persimmonbend.jsonc"), text).unwrap();
        format!("publish --wait {}", folder.display())
    }

    fn get(&self, key: &str) -> String {
        let mut stream = TcpStream::connect(self.callers).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        let request = format!(
            "GET /herd/1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer
    }

    fn wait_for(&self, what: &str, mut holds: impl FnMut() -> bool) {
        for _ in 0..100 {
            if holds() {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("{what} did not come about");
    }

    fn end(mut self) {
        for upstream in self.upstreams.drain(..) {
            upstream.end().unwrap();
        }
        for part in [self.proxy.take(), self.control.take()] {
            part.map_or(Ok(()), Part::end).unwrap();
        }
    }
}

fn ctl(operator: &Fleet, line: &str) -> Answer {
    let words: Vec<&str> = line.split(' ').collect();
    let arguments = command::arguments().run_inner(words.as_slice()).unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(command::answer(operator, &arguments))
}

/// Runs a command until it ends as expected.
fn repeat(operator: &Fleet, line: &str, exit: Exit, text: &str) -> Answer {
    let mut last = None;
    for _ in 0..150 {
        let answer = ctl(operator, line);
        if answer.exit == exit && answer.text.contains(text) {
            return answer;
        }
        last = Some(answer);
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("{line}: {last:?}");
}

fn request_name(answer: &str) -> String {
    let lines = answer.lines();
    let mut names = lines.filter_map(|line| line.strip_prefix("x-request-id: "));
    names.next().unwrap().trim().to_owned()
}

#[test]
fn a_service_from_its_file_to_its_roll_back() {
    let stage = Stage::start();
    let publish = stage.publish("0.4");
    let first = stage.expect(&publish, Exit::Done, "in force on 1 of 1 hosts");
    stage.expect(&publish, Exit::Done, "nothing to publish");
    let resend = format!(
        "publish --wait --change-id {} {}",
        first.value["change_id"].as_str().unwrap(),
        stage.files.folder().join("services").display()
    );
    let again = stage.expect(&resend, Exit::Done, "accepted; revision 1 ");
    assert_eq!(again.value["revision"], first.value["revision"]);
    let find = format!(
        "history --change-id {}",
        first.value["change_id"].as_str().unwrap()
    );
    stage.expect(&find, Exit::Done, "publish 1 services");
    stage.expect("history --change-id nothing", Exit::Rejected, "not among");

    stage.expect("key issue farm", Exit::Rejected, "there is no tenant farm");
    stage.expect(
        "tenant set --per-second 0 --burst 1 farm",
        Exit::Rejected,
        "above 0",
    );
    stage.expect(
        "tenant set --per-second 50 --burst 50 farm",
        Exit::Done,
        "accepted",
    );
    stage.expect("tenant list", Exit::Done, "farm 50 a second, burst 50");
    let issued = stage.expect("key issue --label phone farm", Exit::Done, "pbk_");
    let key = issued.text.clone();
    stage.wait_for("an answer", || stage.get(&key).starts_with("HTTP/1.1 200"));
    stage.expect("key list", Exit::Done, "farm in use phone");

    let refused = stage.get("pbk_none");
    let explain = format!("explain request {}", request_name(&refused));
    stage.expect(&explain, Exit::Done, "key_unknown");
    stage.expect("explain request none", Exit::Failed, "keeps no refused");
    stage.expect("explain tenant farm", Exit::Done, "Its rate is 50 a second");
    stage.expect("explain host host-0", Exit::Done, "revision 3");
    stage.expect(
        "explain upstream nobody",
        Exit::Failed,
        "no upstream nobody",
    );

    stage.publish("0.7");
    stage.expect(&publish, Exit::Done, "in force on 1 of 1 hosts");
    stage.expect(
        "upstream eject upstream-0",
        Exit::Rejected,
        "its floor is 5",
    );
    stage.expect("rollback --wait 1", Exit::Done, "in force");
    stage.expect("rollback 99999", Exit::Done, "accepted");
    stage.expect("upstream eject upstream-0", Exit::Done, "accepted");
    stage.expect(
        "explain upstream upstream-0",
        Exit::Done,
        "An operator ordered it to be ejected.",
    );
    stage.expect("upstream eject upstream-1", Exit::Rejected, "--force");
    stage.expect("upstream eject --force upstream-1", Exit::Done, "accepted");
    stage.expect("upstream restore upstream-1", Exit::Done, "accepted");
    stage.expect("upstream drain nobody", Exit::Rejected, "knows no upstream");
    stage.expect("status", Exit::Done, "upstream-0 is out of use");
    stage.expect("events", Exit::Done, "eject upstream upstream-0, by lab");
    stage.expect("dump host-0", Exit::Done, "\"traffic\"");
    stage.expect("dump nobody", Exit::Failed, "knows a host nobody");

    let short = &issued.value["digest"].as_str().unwrap()[..8];
    stage.expect("key withdraw ffffffffff", Exit::Failed, "there is no key");
    stage.expect(&format!("key withdraw {short}"), Exit::Done, "accepted");
    assert!(stage.get(&key).starts_with("HTTP/1.1 401"));
    stage.end();
}

#[test]
fn without_control_the_operator_is_told_so() {
    let mut stage = Stage::start();
    let publish = stage.publish("0.4");
    stage.expect(&publish, Exit::Done, "in force on 1 of 1 hosts");
    stage.expect(
        "tenant set --per-second 50 --burst 50 farm",
        Exit::Done,
        "accepted",
    );
    let issued = stage.expect("key issue farm", Exit::Done, "pbk_");
    let key = issued.text.clone();
    stage.wait_for("an answer", || stage.get(&key).starts_with("HTTP/1.1 200"));
    stage.control.take().unwrap().end().unwrap();
    let withdraw = format!("key withdraw {}", issued.value["digest"].as_str().unwrap());
    let taken = stage.expect(&withdraw, Exit::Pending, "took the withdrawal");
    assert_eq!(taken.value["recorded_at_control"], false);
    let refused = stage.get(&key);
    assert!(refused.contains("key_withdrawn"), "{refused}");
    stage.expect("status", Exit::Done, "control is away");
    stage.expect(&publish, Exit::Failed, "no control replica leads");
    stage.expect("explain host host-0", Exit::Done, "revision 3");
    stage.end();
}

#[test]
fn a_lost_control_host_is_replaced_by_commands() {
    const NAMES: [&str; 3] = ["control-0", "control-1", "control-2"];
    let files = Files::create().unwrap();
    let (mut parts, addresses): (Vec<Part>, Vec<SocketAddr>) =
        fleet::controls(&files, &NAMES).unwrap().into_iter().unzip();
    let replicas: Vec<(&str, SocketAddr)> = NAMES.into_iter().zip(addresses.clone()).collect();
    let operator = fleet::operator_with(&files, &addresses, &[]).unwrap();
    let set = "tenant set --per-second 5 --burst 5 farm";
    repeat(&operator, set, Exit::Pending, "on no host");
    let before = repeat(&operator, "members list", Exit::Done, "control-2");
    let members = before.value["members"].as_array().unwrap();
    let lost = members
        .iter()
        .find(|one| one["member"]["id"]["host"] == "control-2");
    let storage = lost.unwrap()["member"]["id"]["storage"].as_u64().unwrap();

    parts.pop().unwrap().end().unwrap();
    std::fs::remove_dir_all(files.folder().join("control-2")).unwrap();
    parts.push(
        fleet::control_again(&files, "control-2", &replicas)
            .unwrap()
            .0,
    );
    let asks = "control-2 storage";
    repeat(&operator, "members list", Exit::Done, "asks to be taken in");
    repeat(
        &operator,
        "members promote control-9",
        Exit::Rejected,
        "not accepted",
    );
    repeat(&operator, "members add control-2", Exit::Done, "committed");
    let remove = format!("members remove control-2 {storage}");
    repeat(&operator, &remove, Exit::Done, "committed");
    repeat(
        &operator,
        "members promote control-2",
        Exit::Done,
        "committed",
    );
    let after = repeat(&operator, "members list", Exit::Done, asks);
    assert_eq!(after.text.matches(": voter").count(), 3, "{after:?}");
    assert!(!after.text.contains(&storage.to_string()), "{after:?}");
    for part in parts {
        part.end().unwrap();
    }
}
