//! Three replicas as processes: killed, frozen, and without their disks.

use std::fs;

use serde_json::{
    Value,
    json, //
};
use yuccaseam_testing::{
    Cluster,
    Place,
    Signal,
    wait_until, //
};

/// Three daemons with disks, all voters.
struct Replicas {
    cluster: Cluster,
    /// The revision that was acknowledged last.
    revision: u64,
}

impl Replicas {
    fn start() -> Self {
        let place = |region, domain| Place::new(region, domain).with_disk();
        let places = [
            place("morava", "brno-a"),
            place("morava", "jihlava-b"),
            place("cechy", "praha-a"),
        ];
        let mut replicas = Self {
            cluster: Cluster::start(&places, &[]),
            revision: 0,
        };
        replicas.cluster.wait_until_ready();
        replicas.wait_for_voters(0);
        replicas
    }

    fn status(&self, at: usize) -> Option<Value> {
        self.cluster.caller(at).get("/admin/v1/status")
    }

    fn members(&self, at: usize) -> Vec<Value> {
        let members = self.cluster.caller(at).get("/admin/v1/members");
        let list = members.and_then(|members| members["members"].as_array().cloned());
        list.unwrap_or_default()
    }

    /// Waits until every instance votes, as one of them knows.
    fn wait_for_voters(&self, at: usize) {
        wait_until("three instances vote", || {
            let members = self.members(at);
            members.len() == 3 && members.iter().all(|member| member["role"] == "voter")
        });
    }

    /// The disk under which an instance votes.
    fn voting_disk(&self, at: usize) -> Option<String> {
        let name = &self.cluster.daemons[at].name;
        let members = self.members(at);
        let member = members
            .iter()
            .find(|member| member["instance"] == name.as_str() && member["role"] == "voter")?;
        member["disk"].as_str().map(str::to_owned)
    }

    /// The instance that leads with a lease, if one of these knows it.
    fn leader(&self, among: &[usize]) -> Option<usize> {
        among.iter().copied().find(|&at| {
            self.status(at)
                .is_some_and(|status| status["replica"]["leads"] == true)
        })
    }

    fn wait_for_leader(&self, among: &[usize]) -> usize {
        let mut leader = None;
        wait_until("a replica leads", || {
            leader = self.leader(among);
            leader.is_some()
        });
        leader.expect("waited for")
    }

    /// Changes the configuration through one instance, asking again with the same request until
    /// the answer is known.
    fn write(&mut self, through: usize) {
        let body = json!({
            "request": format!("r{}", self.revision),
            "author": "jana",
            "expected": self.revision,
            "changes": [{"set_default": {"setting": "balance", "value": 50 + self.revision % 40}}],
        });
        let caller = self.cluster.caller(through);
        let expected = self.revision + 1;
        wait_until("a change is accepted", || {
            let answer = caller.post("/admin/v1/configuration", &body);
            let answer = answer.ok().filter(|answer| answer.status == 200);
            answer.is_some_and(|answer| answer.json()["revision"] == expected)
        });
        self.revision = expected;
    }

    /// The revision that an instance reads, which a quorum confirms.
    fn read(&self, through: usize) -> Option<u64> {
        let configuration = self
            .cluster
            .caller(through)
            .get("/admin/v1/configuration")?;
        configuration["revision"].as_u64()
    }

    /// Changes the group through one instance and returns the status of the answer.
    fn change(&self, through: usize, verb: &str, at: usize) -> u16 {
        let body = json!({ "instance": self.cluster.daemons[at].name });
        let path = format!("/admin/v1/members/{verb}");
        let answer = self.cluster.caller(through).post(&path, &body);
        let answer = answer.expect("the daemon answers");
        eprintln!("{verb}: {}", answer.text);
        answer.status
    }

    fn role(&self, through: usize, at: usize) -> Option<String> {
        let name = &self.cluster.daemons[at].name;
        let members = self.members(through);
        let mut members = members.iter();
        let member = members.find(|member| member["instance"] == name.as_str())?;
        member["role"].as_str().map(str::to_owned)
    }

    fn kill(&mut self, at: usize) {
        self.cluster.daemons[at].kill();
    }

    fn signal(&mut self, at: usize, signal: Signal) {
        let process = self.cluster.daemons[at].process.as_mut();
        process.expect("it runs").signal(signal);
    }

    fn lose_disk(&mut self, at: usize) {
        self.kill(at);
        let data = self.cluster.daemons[at].data().expect("it has a disk");
        fs::remove_dir_all(data).expect("the folder is there");
    }
}

fn others(leader: usize) -> [usize; 2] {
    [(leader + 1) % 3, (leader + 2) % 3]
}

#[test]
fn a_killed_leader_takes_no_acknowledged_change_with_it() {
    let mut replicas = Replicas::start();
    for _ in 0..5 {
        let leader = replicas.wait_for_leader(&[0, 1, 2]);
        let [a, b] = others(leader);
        replicas.write(a);
        replicas.write(leader);
        replicas.kill(leader);
        replicas.write(b);
        assert_eq!(replicas.read(a), Some(replicas.revision));
        replicas.cluster.start_daemon(leader);
        replicas.cluster.wait_until_ready();
    }
}

#[test]
fn all_replicas_killed_at_once_remember_every_acknowledged_change() {
    let mut replicas = Replicas::start();
    for _ in 0..10 {
        replicas.write(1);
    }
    for at in 0..3 {
        replicas.kill(at);
    }
    for at in 0..3 {
        replicas.cluster.start_daemon(at);
    }
    replicas.cluster.wait_until_ready();
    assert_eq!(replicas.read(2), Some(replicas.revision));
    replicas.write(0);
}

#[test]
fn a_frozen_leader_wakes_without_a_lease_and_reads_what_others_wrote() {
    let mut replicas = Replicas::start();
    replicas.write(0);
    let old = replicas.wait_for_leader(&[0, 1, 2]);
    let [a, b] = others(old);
    replicas.signal(old, Signal::Stop);
    replicas.wait_for_leader(&[a, b]);
    replicas.write(a);
    replicas.write(b);
    replicas.signal(old, Signal::Cont);
    let status = replicas.status(old).expect("it answers");
    assert_eq!(status["replica"]["leads"], false, "{status}");
    assert_eq!(replicas.read(old), Some(replicas.revision));
    replicas.write(old);
}

#[test]
fn a_lost_disk_is_replaced_and_the_next_failure_loses_nothing() {
    let mut replicas = Replicas::start();
    for _ in 0..5 {
        replicas.write(0);
    }
    let leader = replicas.wait_for_leader(&[0, 1, 2]);
    let [lost, next] = others(leader);
    let old_disk = replicas.voting_disk(lost);
    replicas.lose_disk(lost);
    replicas.write(leader);
    replicas.cluster.start_daemon(lost);
    wait_until("the new disk votes", || {
        let disk = replicas.voting_disk(lost);
        disk.is_some() && disk != old_disk
    });
    replicas.wait_for_voters(lost);

    replicas.kill(next);
    replicas.write(lost);
    replicas.kill(leader);
    replicas.cluster.start_daemon(next);
    assert_eq!(replicas.revision, 7);
    replicas.write(lost);
    assert_eq!(replicas.read(next), Some(replicas.revision));
}

#[test]
fn an_empty_disk_and_one_voter_elect_nobody() {
    let mut replicas = Replicas::start();
    replicas.write(0);
    let leader = replicas.wait_for_leader(&[0, 1, 2]);
    let [lost, rest] = others(leader);
    replicas.lose_disk(lost);
    replicas.kill(leader);
    replicas.cluster.start_daemon(lost);
    let caller = replicas.cluster.caller(lost);
    wait_until("the empty disk's instance answers", || {
        caller.get("/admin/v1/status").is_some()
    });
    let body = json!({
        "request": "refused",
        "author": "jana",
        "expected": 1,
        "changes": [{"set_default": {"setting": "balance", "value": 1}}],
    });
    let answer = caller.post("/admin/v1/configuration", &body);
    let answer = answer.expect("the daemon answers");
    assert_eq!(answer.status, 503, "{}", answer.text);
    assert_eq!(answer.verdict().as_deref(), Some("not_run"));
    assert_eq!(replicas.leader(&[lost, rest]), None);

    replicas.cluster.start_daemon(leader);
    assert_eq!(replicas.revision, 1);
    replicas.write(rest);
    replicas.wait_for_voters(rest);
}

#[test]
fn an_operator_removes_the_leader_and_adds_it_again() {
    let mut replicas = Replicas::start();
    replicas.write(0);
    let old = replicas.wait_for_leader(&[0, 1, 2]);
    let [a, b] = others(old);
    assert_eq!(replicas.change(a, "remove", old), 200);
    replicas.wait_for_leader(&[a, b]);
    replicas.write(a);
    assert_eq!(replicas.role(a, old).as_deref(), Some("candidate"));
    assert_eq!(replicas.change(b, "add", old), 200);
    replicas.wait_for_voters(a);
    replicas.kill(b);
    replicas.write(a);
}

#[test]
fn a_removal_that_would_lose_the_quorum_is_refused_with_its_reason() {
    let mut replicas = Replicas::start();
    replicas.write(0);
    let leader = replicas.wait_for_leader(&[0, 1, 2]);
    let [dead, alive] = others(leader);
    replicas.kill(dead);
    let body = json!({ "instance": replicas.cluster.daemons[alive].name });
    let caller = replicas.cluster.caller(leader);
    let refused = caller.post("/admin/v1/members/remove", &body);
    let refused = refused.expect("the daemon answers");
    assert_eq!(refused.status, 409, "{}", refused.text);
    assert!(refused.text.contains("only 1 voters"), "{}", refused.text);
    replicas.write(alive);
}

#[test]
fn a_group_shrinks_to_one_voter_and_grows_again() {
    let mut replicas = Replicas::start();
    replicas.write(0);
    let last = replicas.wait_for_leader(&[0, 1, 2]);
    let [a, b] = others(last);
    assert_eq!(replicas.change(last, "remove", a), 200);
    assert_eq!(replicas.change(last, "remove", b), 200);
    replicas.write(last);
    replicas.kill(last);
    replicas.cluster.start_daemon(last);
    replicas.write(last);
    for at in [a, b] {
        wait_until("the removed replica is a candidate", || {
            replicas.role(last, at).as_deref() == Some("candidate")
        });
        // Refused while the other one is being promoted.
        wait_until("it is added", || replicas.change(last, "add", at) == 200);
    }
    replicas.wait_for_voters(last);
    replicas.kill(last);
    replicas.write(a);
}
