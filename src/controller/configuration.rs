//! Applies configurations to the workers and answers operators.

use std::sync;

use super::HostController;
use crate::block_map::BlockMap;
use crate::config_object::ConfigObject;
use crate::config_role::ConfigAction;
use crate::control_message::{CallPurpose, ControlAction, ControlAnswer};
use crate::declaration::{DrainKind, SteeringDeclaration};
use crate::event::EventCode;
use crate::lookup::LookupTable;
use crate::platform_call::{ObjectName, PlatformCall};
use crate::timer::Moment;
use crate::topology::SteeringTopology;

impl HostController {
    pub(super) fn run_config_actions(&mut self, actions: Vec<ConfigAction>) {
        for action in actions {
            match action {
                ConfigAction::Read => {
                    let call = PlatformCall::Read(ObjectName::config());
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Config, call));
                }
                ConfigAction::Write { bytes, expected } => {
                    let call = PlatformCall::Write {
                        object: ObjectName::config(),
                        bytes,
                        expected,
                    };
                    self.actions
                        .push(ControlAction::Platform(CallPurpose::Config, call));
                }
                ConfigAction::Fetch(peer) => {
                    if let Some(record) = self.membership.record(&peer) {
                        self.actions
                            .push(ControlAction::SendFetch(record.control_address));
                    }
                }
                ConfigAction::Install(object) => self.install(&object),
                ConfigAction::Answer(answer) => {
                    let code = if answer.result.is_ok() {
                        EventCode::ChangeAccepted
                    } else {
                        EventCode::ChangeRefused
                    };
                    let detail = match &answer.result {
                        Ok(generation) => format!("generation {generation}"),
                        Err(fault) => format!("{} {}", fault.code, fault.detail),
                    };
                    self.event(code, detail);
                    self.answer(answer.ticket, ControlAnswer::Change(answer));
                }
            }
        }
    }

    pub(super) fn install(&mut self, object: &ConfigObject) {
        let topology = SteeringTopology::from_declaration(object.generation, &object.declaration);
        let topology = sync::Arc::new(topology);
        self.start_drain_timer(&topology);
        let same_block_map = self
            .topology
            .as_ref()
            .is_some_and(|installed| has_same_block_map(installed, &topology));
        if !same_block_map {
            self.map = Some(sync::Arc::new(BlockMap::from_topology(&topology)));
        }
        self.topology = Some(sync::Arc::clone(&topology));
        self.actions.push(ControlAction::InstallTopology(topology));
        self.event(
            EventCode::ConfigInstalled,
            format!("generation {}", object.generation),
        );
        self.push_lookup();
        self.next_heartbeat = Moment::default();
    }

    pub(super) fn push_lookup(&mut self) {
        if let (Some(topology), Some(map)) = (&self.topology, &self.map) {
            let advertised = self.membership.advertised();
            let table = LookupTable::with_map(sync::Arc::clone(map), topology, &advertised);
            self.actions
                .push(ControlAction::InstallLookup(sync::Arc::new(table)));
        }
    }

    pub(super) fn on_fetched(&mut self, object: Option<&ConfigObject>) {
        match object {
            Some(object) => {
                let actions = self.config.on_received(object);
                self.run_config_actions(actions);
            }
            None => self.config.on_fetch_failed(),
        }
    }
}

fn has_same_block_map(old: &SteeringTopology, new: &SteeringTopology) -> bool {
    let drained_halls = |declaration: &SteeringDeclaration| {
        let halls = declaration
            .drains
            .iter()
            .filter(|drain| drain.kind == DrainKind::Hall);
        halls.map(|drain| drain.name.clone()).collect::<Vec<_>>()
    };
    let (old, new) = (&old.declaration, &new.declaration);
    old.blocks
        .iter()
        .map(|block| (block.prefix, block.split, &block.region))
        .eq(new
            .blocks
            .iter()
            .map(|block| (block.prefix, block.split, &block.region)))
        && old
            .halls
            .iter()
            .map(|hall| (&hall.name, &hall.region, hall.capacity))
            .eq(new
                .halls
                .iter()
                .map(|hall| (&hall.name, &hall.region, hall.capacity)))
        && old
            .regions
            .iter()
            .map(|region| &region.name)
            .eq(new.regions.iter().map(|region| &region.name))
        && drained_halls(old) == drained_halls(new)
}
