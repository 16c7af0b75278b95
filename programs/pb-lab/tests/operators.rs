//! The commands of pb-ctl on a running fleet.

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

/// Text of a service file, with `FLOOR` in place of the floor.
const SERVICE_TEMPLATE: &str = "{\"service\": \"herd\", \"owner\": \"o\", \"floor\": FLOOR,\n\
    \"routes\": [{\"id\": \"register\", \"prefix\": \"/herd\", \"methods\": [\"GET\"]}]}";

/// A control replica, a proxy and two upstreams, with the settings of an operator.
struct Fixture {
    files: Files,
    control: Option<Part>,
    proxy: Option<Part>,
    upstreams: Vec<Part>,
    callers: SocketAddr,
    operator: Fleet,
}

impl Fixture {
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

    /// Runs a command line of pb-ctl.
    fn ctl(&self, line: &str) -> Answer {
        ctl(&self.operator, line)
    }

    /// Runs a command and checks its exit and a part of its text.
    fn expect(&self, line: &str, exit: Exit, text: &str) -> Answer {
        let answer = self.ctl(line);
        assert_eq!(answer.exit, exit, "{line}: {answer:?}");
        assert!(answer.text.contains(text), "{line}: {answer:?}");
        answer
    }

    /// Writes the service file with a floor and returns the command that publishes it.
    fn publish_command(&self, floor: &str) -> String {
        let folder = self.files.folder().join("services");
        std::fs::create_dir_all(&folder).unwrap();
        let text = SERVICE_TEMPLATE.replace("FLOOR", floor);
        std::fs::write(folder.join("herd.persimmonbend.jsonc"), text).unwrap();
        format!("publish --wait {}", folder.display())
    }

    /// Returns the answer to a keyed request, head included.
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

    fn wait_for(&self, what: &str, mut condition: impl FnMut() -> bool) {
        for _ in 0..100 {
            if condition() {
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        panic!("timed out waiting for {what}");
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

/// Runs a command line of pb-ctl with the settings of an operator.
fn ctl(operator: &Fleet, line: &str) -> Answer {
    let words: Vec<&str> = line.split(' ').collect();
    let arguments = command::arguments().run_inner(words.as_slice()).unwrap();
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(command::answer(operator, &arguments))
}

/// Runs a command until it ends with an exit and a text, and returns that answer.
fn run_until(operator: &Fleet, line: &str, exit: Exit, text: &str) -> Answer {
    let mut last = None;
    for _ in 0..150 {
        let answer = ctl(operator, line);
        if answer.exit == exit && answer.text.contains(text) {
            return answer;
        }
        last = Some(answer);
        std::thread::sleep(Duration::from_millis(200));
    }
    panic!("{line}: did not end as expected in time; last answer: {last:?}");
}

/// Returns the request ID in the head of an answer.
fn request_id(answer: &str) -> String {
    let lines = answer.lines();
    let mut names = lines.filter_map(|line| line.strip_prefix("x-request-id: "));
    names.next().unwrap().trim().to_owned()
}

/// Guards against commands that report something other than what the fleet does, from the first
/// publication of a service to its rollback, orders to upstreams and the withdrawal of a key.
#[test]
fn commands_cover_a_service_from_publication_to_rollback() {
    let fixture = Fixture::start();
    let publish = fixture.publish_command("0.4");
    let first = fixture.expect(&publish, Exit::Done, "in force on 1 of 1 hosts");
    fixture.expect(&publish, Exit::Done, "nothing to publish");
    let resend = format!(
        "publish --wait --change-id {} {}",
        first.value["change_id"].as_str().unwrap(),
        fixture.files.folder().join("services").display()
    );
    let again = fixture.expect(&resend, Exit::Done, "accepted; revision 1 ");
    assert_eq!(again.value["revision"], first.value["revision"]);
    let find = format!(
        "history --change-id {}",
        first.value["change_id"].as_str().unwrap()
    );
    fixture.expect(&find, Exit::Done, "publish 1 services");
    fixture.expect("history --change-id nothing", Exit::Rejected, "not among");

    fixture.expect("key issue farm", Exit::Rejected, "there is no tenant farm");
    fixture.expect(
        "tenant set --per-second 0 --burst 1 farm",
        Exit::Rejected,
        "above 0",
    );
    fixture.expect(
        "tenant set --per-second 50 --burst 50 farm",
        Exit::Done,
        "accepted",
    );
    fixture.expect("tenant list", Exit::Done, "farm 50 a second, burst 50");
    let issued = fixture.expect("key issue --label phone farm", Exit::Done, "pbk_");
    let key = issued.text.clone();
    fixture.wait_for("status 200", || {
        fixture.get(&key).starts_with("HTTP/1.1 200")
    });
    fixture.expect("key list", Exit::Done, "farm in use phone");

    let refused = fixture.get("pbk_none");
    let explain = format!("explain request {}", request_id(&refused));
    fixture.expect(&explain, Exit::Done, "key_unknown");
    fixture.expect("explain request none", Exit::Failed, "keeps no refused");
    fixture.expect("explain tenant farm", Exit::Done, "Its rate is 50 a second");
    fixture.expect("explain host host-0", Exit::Done, "revision 3");
    fixture.expect(
        "explain upstream nobody",
        Exit::Failed,
        "no upstream nobody",
    );

    fixture.publish_command("0.7");
    fixture.expect(&publish, Exit::Done, "in force on 1 of 1 hosts");
    fixture.expect(
        "upstream eject upstream-0",
        Exit::Rejected,
        "its floor is 5",
    );
    fixture.expect("rollback --wait 1", Exit::Done, "in force");
    fixture.expect("rollback 99999", Exit::Done, "accepted");
    fixture.expect("upstream eject upstream-0", Exit::Done, "accepted");
    fixture.expect(
        "explain upstream upstream-0",
        Exit::Done,
        "An operator ordered it to be ejected.",
    );
    fixture.expect("upstream eject upstream-1", Exit::Rejected, "--force");
    fixture.expect("upstream eject --force upstream-1", Exit::Done, "accepted");
    fixture.expect("upstream restore upstream-1", Exit::Done, "accepted");
    fixture.expect("upstream drain nobody", Exit::Rejected, "knows no upstream");
    fixture.expect("status", Exit::Done, "upstream-0 is out of use");
    fixture.expect("events", Exit::Done, "eject upstream upstream-0, by lab");
    fixture.expect("dump host-0", Exit::Done, "\"traffic\"");
    fixture.expect("dump nobody", Exit::Failed, "knows a host nobody");

    let short = &issued.value["digest"].as_str().unwrap()[..8];
    fixture.expect("key withdraw ffffffffff", Exit::Failed, "there is no key");
    fixture.expect(&format!("key withdraw {short}"), Exit::Done, "accepted");
    assert!(fixture.get(&key).starts_with("HTTP/1.1 401"));
    fixture.end();
}

/// Guards against commands that claim success without control: a withdrawal takes effect on the
/// proxy and is reported as pending, a publication fails, and reports from the proxy still work.
#[test]
fn commands_report_that_control_cannot_be_reached() {
    let mut fixture = Fixture::start();
    let publish = fixture.publish_command("0.4");
    fixture.expect(&publish, Exit::Done, "in force on 1 of 1 hosts");
    fixture.expect(
        "tenant set --per-second 50 --burst 50 farm",
        Exit::Done,
        "accepted",
    );
    let issued = fixture.expect("key issue farm", Exit::Done, "pbk_");
    let key = issued.text.clone();
    fixture.wait_for("status 200", || {
        fixture.get(&key).starts_with("HTTP/1.1 200")
    });
    fixture.control.take().unwrap().end().unwrap();
    let withdraw = format!("key withdraw {}", issued.value["digest"].as_str().unwrap());
    let answer = fixture.expect(&withdraw, Exit::Pending, "took the withdrawal");
    assert_eq!(answer.value["recorded_at_control"], false);
    let refused = fixture.get(&key);
    assert!(refused.contains("key_withdrawn"), "{refused}");
    fixture.expect("status", Exit::Done, "control is away");
    fixture.expect(&publish, Exit::Failed, "no control replica leads");
    fixture.expect("explain host host-0", Exit::Done, "revision 3");
    fixture.end();
}

/// Guards against a lost control replica that operators cannot replace: after its disk is wiped,
/// three commands add the new replica, remove the old entry and make the new one a voter.
#[test]
fn a_lost_control_host_is_replaced_by_commands() {
    const NAMES: [&str; 3] = ["control-0", "control-1", "control-2"];
    let files = Files::create().unwrap();
    let (mut parts, addresses): (Vec<Part>, Vec<SocketAddr>) =
        fleet::controls(&files, &NAMES).unwrap().into_iter().unzip();
    let replicas: Vec<(&str, SocketAddr)> = NAMES.into_iter().zip(addresses.clone()).collect();
    let operator = fleet::operator_with(&files, &addresses, &[]).unwrap();
    let set = "tenant set --per-second 5 --burst 5 farm";
    run_until(&operator, set, Exit::Pending, "on no host");
    let before = run_until(&operator, "members list", Exit::Done, "control-2");
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
    let member_line = "control-2 storage";
    run_until(&operator, "members list", Exit::Done, "asks to be taken in");
    run_until(
        &operator,
        "members promote control-9",
        Exit::Rejected,
        "not accepted",
    );
    run_until(&operator, "members add control-2", Exit::Done, "committed");
    let remove = format!("members remove control-2 {storage}");
    run_until(&operator, &remove, Exit::Done, "committed");
    run_until(
        &operator,
        "members promote control-2",
        Exit::Done,
        "committed",
    );
    let after = run_until(&operator, "members list", Exit::Done, member_line);
    assert_eq!(after.text.matches(": voter").count(), 3, "{after:?}");
    assert!(!after.text.contains(&storage.to_string()), "{after:?}");
    for part in parts {
        part.end().unwrap();
    }
}
