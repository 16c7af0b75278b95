//! The server of the peer interface, for other proxies and operators' tools.

use std::cell::RefCell;
use std::rc::Rc;

use capnp::Error;
use capnp::capability::Rc as Server;
use log::info;
use log::warn;
use persimmonbend_core::key::Digest;
use persimmonbend_core::quota::Account;
use persimmonbend_core::throttle::Throttle;
use persimmonbend_wire::fleet_capnp::peer;

use crate::explain;
use crate::gossip;
use crate::node::Node;
use crate::rates;
use crate::subscription;

/// Returns a Cap'n Proto client whose calls are served by `node`.
#[must_use]
pub fn client(node: Rc<Node>) -> peer::Client {
    let throttle = RefCell::default();
    capnp_rpc::new_client(Peer { node, throttle })
}

struct Peer {
    node: Rc<Node>,
    throttle: RefCell<Throttle>,
}

impl peer::Server for Peer {
    async fn ping(
        self: Server<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn gossip(
        self: Server<Self>,
        params: peer::GossipParams,
        mut results: peer::GossipResults,
    ) -> Result<(), Error> {
        let message = params.get()?.get_message()?;
        let reply = gossip::answer(&self.node, message);
        let reply = reply.inspect_err(|error| {
            if let Some(suppressed) = self.throttle.borrow_mut().admit(self.node.now()) {
                warn!("members: dropped gossip: {error}; {suppressed} more suppressed");
            }
        })?;
        results.get().set_reply(&reply);
        Ok(())
    }

    async fn update(
        self: Server<Self>,
        params: peer::UpdateParams,
        mut results: peer::UpdateResults,
    ) -> Result<(), Error> {
        let update = subscription::update(&self.node, params.get()?.get_since());
        let revision = self.node.board().config().revision();
        update.write(revision, results.get().init_update())?;
        Ok(())
    }

    async fn lend(
        self: Server<Self>,
        params: peer::LendParams,
        mut results: peer::LendResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let service = params.get_service()?.to_str()?;
        let account = Account {
            tenant: params.get_tenant()?.to_str()?.to_owned(),
            service: (!service.is_empty()).then(|| service.to_owned()),
        };
        let lent = rates::lend(&self.node, account).await;
        results.get().set_lent(lent);
        Ok(())
    }

    async fn withdraw(
        self: Server<Self>,
        params: peer::WithdrawParams,
        _results: peer::WithdrawResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let bytes = <[u8; 32]>::try_from(params.get_digest()?);
        let bytes = bytes.map_err(|_| Error::failed("a digest must have 32 bytes".to_owned()))?;
        let digest = Digest::from(bytes);
        let operator = params.get_operator()?.to_str()?;
        let withdrawn = self
            .node
            .membership()
            .withdraw(&mut self.node.board_mut(), digest);
        if !withdrawn {
            return Err(Error::failed("too many withdrawals are pending".to_owned()));
        }
        let now = self.node.now();
        self.node.withdrawals().note(digest, operator, now);
        info!("keys: {operator} withdrew key {}", digest.short());
        self.node.wake_gossip();
        Ok(())
    }

    async fn status(
        self: Server<Self>,
        _params: peer::StatusParams,
        mut results: peer::StatusResults,
    ) -> Result<(), Error> {
        results
            .get()
            .set_report(self.node.status().to_string().as_bytes());
        Ok(())
    }

    async fn explain(
        self: Server<Self>,
        params: peer::ExplainParams,
        mut results: peer::ExplainResults,
    ) -> Result<(), Error> {
        let query = params.get()?.get_query()?;
        let query =
            serde_json::from_slice(query).map_err(|error| Error::failed(error.to_string()))?;
        let answer = explain::answer(&self.node, &query);
        let answer = answer.map_err(|error| Error::failed(error.to_string()))?;
        results.get().set_report(answer.to_string().as_bytes());
        Ok(())
    }

    async fn dump(
        self: Server<Self>,
        _params: peer::DumpParams,
        mut results: peer::DumpResults,
    ) -> Result<(), Error> {
        results
            .get()
            .set_state(self.node.dump().to_string().as_bytes());
        Ok(())
    }
}
