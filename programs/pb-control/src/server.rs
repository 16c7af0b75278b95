//! Server of the Cap'n Proto control interface.

use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use capnp::capability::Rc as Server;
use persimmonbend_replica::id::Id;
use persimmonbend_replica::members::Change;
use persimmonbend_wire::fleet_capnp::control;
use persimmonbend_wire::members;
use persimmonbend_wire::quota;
use persimmonbend_wire::record;

use crate::issuer::Issuer;
use crate::node::Node;
use crate::records::Records;
use crate::replication::Replication;

/// Returns a capability that serves the control interface of a replica.
#[must_use]
pub fn client(
    node: Rc<Node>,
    replication: Rc<Replication>,
    issuer: Issuer,
    records: Records,
) -> control::Client {
    capnp_rpc::new_client(Control {
        node,
        replication,
        issuer,
        records,
    })
}

struct Control {
    node: Rc<Node>,
    replication: Rc<Replication>,
    issuer: Issuer,
    records: Records,
}

impl control::Server for Control {
    async fn ping(
        self: Server<Self>,
        _params: control::PingParams,
        mut results: control::PingResults,
    ) -> Result<(), Error> {
        results.get().set_leader(self.node.is_leader());
        results.get().set_hint(self.node.leader_hint());
        Ok(())
    }

    async fn watch(
        self: Server<Self>,
        params: control::WatchParams,
        mut results: control::WatchResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let host = params.get_host()?.to_str()?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let peer_address = params.get_peers()?.to_str()?.parse().ok();
        self.node.record_peer_address(host, peer_address);
        let (revision, update) = self.node.watch(host, params.get_since(), wait).await?;
        let addresses = self.node.peer_addresses(host);
        let length = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        let mut list = results.get().init_book(length);
        for (index, address) in (0..length).zip(addresses) {
            list.set(index, address.to_string());
        }
        update.write(revision, results.get().init_update())?;
        Ok(())
    }

    async fn submit(
        self: Server<Self>,
        params: control::SubmitParams,
        mut results: control::SubmitResults,
    ) -> Result<(), Error> {
        let submission = serde_json::from_slice(params.get()?.get_submission()?).map_err(failed)?;
        let outcome = self.node.submit(submission).await?;
        let document = serde_json::to_vec(&outcome).map_err(failed)?;
        results.get().set_outcome(&document);
        Ok(())
    }

    async fn grant(
        self: Server<Self>,
        params: control::GrantParams,
        mut results: control::GrantResults,
    ) -> Result<(), Error> {
        let batch = quota::read_batch(params.get()?.get_batch()?)?;
        let reply = self.issuer.answer(&batch).await?;
        quota::write_reply(&reply, results.get().init_grants());
        Ok(())
    }

    async fn vacate(
        self: Server<Self>,
        params: control::VacateParams,
        _results: control::VacateResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let host = params.get_host()?.to_str()?;
        self.issuer.vacate(host, params.get_incarnation()).await?;
        Ok(())
    }

    async fn claim(
        self: Server<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let claim = record::read_claim(params.get_claim()?)?;
        let wait = Duration::from_millis(u64::from(params.get_wait_ms()));
        let verdict = self.records.claim(&claim, wait).await?;
        record::write_verdict(&verdict, results.get().init_verdict())?;
        Ok(())
    }

    async fn complete(
        self: Server<Self>,
        params: control::CompleteParams,
        _results: control::CompleteResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let claim = record::read_claim(params.get_claim()?)?;
        let outcome = serde_json::from_slice(params.get_outcome()?).map_err(failed)?;
        self.records.complete(claim, outcome).await?;
        Ok(())
    }

    async fn replicate(
        self: Server<Self>,
        params: control::ReplicateParams,
        mut results: control::ReplicateResults,
    ) -> Result<(), Error> {
        let batch = params.get()?.get_message()?;
        let reply = self.replication.receive(batch).map_err(failed)?;
        results.get().set_reply(&reply);
        Ok(())
    }

    async fn members(
        self: Server<Self>,
        params: control::MembersParams,
        _results: control::MembersResults,
    ) -> Result<(), Error> {
        let order = serde_json::from_slice(params.get()?.get_order()?).map_err(failed)?;
        self.node.change_members(&change(order)).await?;
        Ok(())
    }

    async fn snapshot(
        self: Server<Self>,
        _params: control::SnapshotParams,
        mut results: control::SnapshotResults,
    ) -> Result<(), Error> {
        let state = self.node.state();
        results.get().set_revision(state.revision());
        results
            .get()
            .set_state(&serde_json::to_vec(&state).map_err(failed)?);
        Ok(())
    }

    async fn status(
        self: Server<Self>,
        _params: control::StatusParams,
        mut results: control::StatusResults,
    ) -> Result<(), Error> {
        results
            .get()
            .set_report(self.node.status().to_string().as_bytes());
        Ok(())
    }

    async fn dump(
        self: Server<Self>,
        _params: control::DumpParams,
        mut results: control::DumpResults,
    ) -> Result<(), Error> {
        let dump = serde_json::json!({
            "status": self.node.status(),
            "config": self.node.state(),
            "rates": self.issuer.dump(),
            "records": self.records.dump(),
        });
        results.get().set_state(dump.to_string().as_bytes());
        Ok(())
    }
}

fn change(order: members::Order) -> Change {
    match order {
        members::Order::Add { host } => Change::Add { host },
        members::Order::Promote { host } => Change::Promote { host },
        members::Order::Remove { host, storage } => Change::Remove {
            id: Id { host, storage },
        },
    }
}

fn failed<E: std::fmt::Display>(error: E) -> Error {
    Error::failed(error.to_string())
}
