//! Announcements, renewals, moves, leaving and expiry of targets.

use yuccaseam_base::{
    InstanceName,
    Millis,
    TargetName, //
};
use yuccaseam_fleet::{
    Action,
    Announcement,
    Event,
    TargetLoad,
    TargetState, //
};

use crate::net::{
    Net,
    target, //
};

fn with_target(count: usize, regions: usize) -> (Net, Announcement) {
    let mut net = Net::new(count, regions, 11);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    let announcement = target(1, 0);
    net.renew_at(2, announcement.clone());
    let name = announcement.name.clone();
    assert!(net.run_until(Millis::from_secs(3), |net| {
        net.all_have_target_state(&name, TargetState::Live)
    }));
    (net, announcement)
}

fn holders(net: &Net, name: &TargetName) -> Vec<InstanceName> {
    let records = net.running().filter_map(|(_, node)| node.target(name));
    let mut holders: Vec<_> = records.map(|record| record.holder).collect();
    holders.sort();
    holders.dedup();
    holders
}

#[test]
fn unrenewed_target_becomes_suspect_then_gone() {
    let (mut net, Announcement { name, .. }) = with_target(9, 2);
    net.run(Millis::from_secs(30));
    assert!(net.all_have_target_state(&name, TargetState::Live));
    net.stop_renewing(&name);
    for state in [TargetState::Suspect, TargetState::Gone] {
        assert!(net.run_until(Millis::from_secs(12), |net| {
            net.all_have_target_state(&name, state)
        }));
    }
    net.run(Millis::from_secs(90));
    assert!(net.running().all(|(_, node)| node.target(&name).is_none()));
}

#[test]
fn leaving_state_reaches_320_daemons_within_3_s() {
    let mut net = Net::new(320, 5, 12);
    assert!(net.run_until(Millis::from_secs(120), Net::has_converged));
    let targets: Vec<_> = (0..40).map(|number| target(number, number % 5)).collect();
    for (number, announcement) in targets.iter().enumerate() {
        net.renew_at(number * 7, announcement.clone());
    }
    net.run(Millis::from_secs(30));
    net.loss_permille = 10;
    // All targets of one region leave at once, each through a daemon that does not hold its record.
    let leaving: Vec<_> = targets.iter().step_by(5).map(|t| t.name.clone()).collect();
    for (number, name) in leaving.iter().enumerate() {
        net.handle(300 - number, Event::TargetLeaving(name.clone()));
    }
    assert!(net.run_until(Millis::from_secs(3), |net| {
        let known = |name| net.all_have_target_state(name, TargetState::Leaving);
        leaving.iter().all(known)
    }));
    assert!(net.all_have_target_state(&targets[1].name, TargetState::Live));
}

#[test]
fn owner_receives_leaving_state_immediately() {
    let (mut net, Announcement { name, .. }) = with_target(18, 3);
    let owner = net.node(0).owner_of(&name).unwrap().name.clone();
    let (owner, _) = net
        .running()
        .find(|(_, node)| node.local().name == owner)
        .unwrap();
    let elsewhere = (0..18).find(|&number| number != owner).unwrap();
    net.handle(elsewhere, Event::TargetLeaving(name.clone()));
    // The packet is delivered within one step.
    net.run(Millis(50));
    let record = net.node(owner).target(&name).unwrap();
    assert_eq!(record.state, TargetState::Leaving);
}

#[test]
fn renewals_do_not_undo_leaving() {
    let (mut net, announcement) = with_target(9, 2);
    let name = &announcement.name;
    net.handle(6, Event::TargetLeaving(name.clone()));
    net.run(Millis::from_secs(20));
    assert!(net.all_have_target_state(name, TargetState::Leaving));
    let restarted = Announcement {
        incarnation: 2,
        ..announcement.clone()
    };
    net.renew_at(2, restarted);
    assert!(net.run_until(Millis::from_secs(5), |net| {
        net.all_have_target_state(name, TargetState::Live)
    }));
}

#[test]
fn leaving_takes_precedence_over_concurrent_changes() {
    let (mut net, announcement) = with_target(6, 2);
    let name = &announcement.name;
    net.partitioned.insert(1);
    for slots in 9..15 {
        let announcement = Announcement {
            slots,
            ..announcement.clone()
        };
        net.renew_at(2, announcement);
    }
    net.handle(3, Event::TargetLeaving(name.clone()));
    net.run(Millis(1_000));
    net.partitioned.clear();
    net.run(Millis::from_secs(40));
    assert!(net.all_have_target_state(name, TargetState::Leaving));
}

#[test]
fn holder_refutes_suspicion_of_its_target() {
    let (mut net, announcement) = with_target(6, 2);
    let name = &announcement.name;
    net.partitioned.insert(1);
    // One side has the higher version, the other one receives the renewals.
    for slots in 9..15 {
        let announcement = Announcement {
            slots,
            ..announcement.clone()
        };
        net.renew_at(2, announcement);
    }
    net.renew_at(
        3,
        Announcement {
            slots: 14,
            ..announcement.clone()
        },
    );
    net.run(Millis(2_900));
    net.recorded.clear();
    net.partitioned.clear();
    net.run(Millis::from_secs(20));
    assert!(net.all_have_target_state(name, TargetState::Live));
    let late = net.recorded.iter().filter(|(number, action)| match action {
        Action::TargetChanged(record) => *number == 3 && record.state == TargetState::Suspect,
        _ => false,
    });
    assert_eq!(late.count(), 0);
}

#[test]
fn unrenewed_leaving_target_never_becomes_suspect() {
    let (mut net, Announcement { name, .. }) = with_target(9, 2);
    net.handle(6, Event::TargetLeaving(name.clone()));
    net.stop_renewing(&name);
    net.recorded.clear();
    net.run(Millis::from_secs(15));
    assert!(net.all_have_target_state(&name, TargetState::Gone));
    let suspect = net.recorded.iter().filter(|(_, action)| match action {
        Action::TargetChanged(record) => record.state == TargetState::Suspect,
        _ => false,
    });
    assert_eq!(suspect.count(), 0);
}

#[test]
fn target_can_renew_at_any_daemon() {
    let (mut net, announcement) = with_target(9, 2);
    net.recorded.clear();
    for number in [4, 8, 5, 3, 2, 7] {
        net.renew_at(number, announcement.clone());
        net.run(Millis::from_secs(5));
    }
    assert!(net.all_have_target_state(&announcement.name, TargetState::Live));
    let changed = net
        .recorded
        .iter()
        .filter(|(_, a)| matches!(a, Action::TargetChanged(_)));
    assert_eq!(changed.count(), 0);
}

#[test]
fn target_moves_when_its_holder_dies() {
    let (mut net, announcement) = with_target(9, 2);
    net.stop(2);
    net.renew_at(5, announcement.clone());
    let name = &announcement.name;
    assert!(net.run_until(Millis::from_secs(15), |net| {
        holders(net, name) == [InstanceName::from("instance-5")]
    }));
    net.run(Millis::from_secs(30));
    assert!(net.all_have_target_state(name, TargetState::Live));
}

#[test]
fn restarted_holder_recovers_its_targets() {
    let (mut net, announcement) = with_target(9, 2);
    let unrenewed = target(2, 0);
    net.handle(2, Event::Announced(unrenewed.clone()));
    net.run(Millis(1_000));
    net.stop(2);
    net.start(2, 2);
    net.run(Millis::from_secs(12));
    assert!(net.all_have_target_state(&announcement.name, TargetState::Live));
    assert!(net.run_until(Millis::from_secs(10), |net| {
        let gone = |name| {
            net.running().all(|(_, node)| {
                node.target(name)
                    .is_none_or(|record| record.state == TargetState::Gone)
            })
        };
        gone(&unrenewed.name)
    }));
}

#[test]
fn equal_versions_resolve_identically_everywhere() {
    let mut net = Net::new(9, 3, 13);
    assert!(net.run_until(Millis::from_secs(60), Net::has_converged));
    let announcement = target(1, 0);
    for number in [0, 1, 2] {
        net.handle(number, Event::Announced(announcement.clone()));
    }
    assert!(net.run_until(Millis::from_secs(5), |net| {
        net.all_have_target_state(&announcement.name, TargetState::Live)
            && holders(net, &announcement.name).len() == 1
    }));
}

#[test]
fn owner_receives_load_reports() {
    let (mut net, announcement) = with_target(9, 2);
    let name = announcement.name;
    let load = TargetLoad {
        running: 3,
        waiting: 1,
        cache_permille: 200,
    };
    net.recorded.clear();
    for number in 0..9 {
        net.handle(
            number,
            Event::LoadReported {
                target: name.clone(),
                load,
            },
        );
    }
    net.run(Millis(1_000));
    let owner = net.node(0).owner_of(&name).unwrap().name.clone();
    let mut reports = 0;
    for (number, action) in &net.recorded {
        if let Action::LoadReported { .. } = action {
            assert_eq!(net.node(*number).local().name, owner);
            reports += 1;
        }
    }
    assert_eq!(reports, 9);
}
