//! The peer interface as a remote procedure call server.

use std::rc::Rc;

use capnp::Error;
use capnp::capability::Rc as Server;
use persimmonbend_wire::fleet_capnp::peer;

use crate::explain;
use crate::node::Node;

/// Returns a capability that serves `node`.
#[must_use]
pub fn client(node: Rc<Node>) -> peer::Client {
    capnp_rpc::new_client(Peer { node })
}

struct Peer {
    node: Rc<Node>,
}

impl peer::Server for Peer {
    async fn ping(
        self: Server<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> Result<(), Error> {
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
