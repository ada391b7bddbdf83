//! The links of each node to each runner, so that one node can lose its links while the others keep theirs.
//!
//! Each node reads the store through a view of its own, in which the addresses of runners are those of the node's links. A
//! node that follows another one's replica uses that node's links.

use crate::proxy::{Link, LinkMode};
use pitchstall_platform_standins::store::StoreStandIn;
use pitchstall_platform_standins::store_view::AddressMap;
use std::net::SocketAddr;

/// The links of one node.
struct LinksOfNode {
    addresses: AddressMap,
    links: Vec<Link>,
    mode: LinkMode,
}

impl LinksOfNode {
    fn add_runner(&mut self, runner: SocketAddr) -> std::io::Result<()> {
        let link = Link::start_closing_with_server(runner)?;
        link.set_mode(self.mode);
        self.addresses.insert(runner.to_string(), link.address().to_string());
        self.links.push(link);
        Ok(())
    }
}

/// The links of all nodes that have their own. Without any, all nodes use the same link to a runner.
#[derive(Default)]
pub struct NodeLinks {
    runners: Vec<SocketAddr>,
    nodes: Vec<LinksOfNode>,
}

impl NodeLinks {
    /// Gives the next node links of its own to all runners, and returns the address of the store in its view. Fails if a
    /// link or the view cannot listen.
    pub fn add_node(&mut self, store: &StoreStandIn) -> std::io::Result<SocketAddr> {
        let addresses = AddressMap::default();
        let mut node = LinksOfNode { addresses, links: Vec::new(), mode: LinkMode::Passing };
        for runner in &self.runners {
            node.add_runner(*runner)?;
        }
        let view = store.serve_view(node.addresses.clone())?;
        self.nodes.push(node);
        Ok(view)
    }

    /// Starts a link of each node to a runner that joins the fleet. Must be called before the runner is registered. Fails
    /// if a link cannot listen.
    pub fn add_runner(&mut self, runner: SocketAddr) -> std::io::Result<()> {
        self.runners.push(runner);
        self.nodes.iter_mut().try_for_each(|node| node.add_runner(runner))
    }

    /// Sets the behaviour of all links of a node, also of those to runners that join later.
    pub fn set_mode(&mut self, node: usize, mode: LinkMode) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.mode = mode;
            node.links.iter().for_each(|link| link.set_mode(mode));
        }
    }
}
