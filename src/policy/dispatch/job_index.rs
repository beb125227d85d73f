//! Index of the jobs on all engines, by their ids and by the VMs that serve their requests.

use std::collections::{BTreeSet, HashMap};

use super::request::JobId;
use crate::ids::{TargetName, VmName};

/// A job's part on one engine.
#[derive(Debug)]
struct JobPart {
    target: TargetName,
    vm: VmName,
}

/// Finds a job's engines, and a VM's jobs, without a walk over all engines.
#[derive(Debug, Default)]
pub(super) struct JobIndex {
    parts_by_job: HashMap<JobId, Vec<JobPart>>,
    jobs_by_vm: HashMap<VmName, BTreeSet<JobId>>,
}

impl JobIndex {
    pub(super) fn add(&mut self, job: JobId, target: &TargetName, vm: &VmName) {
        self.parts_by_job.entry(job).or_default().push(JobPart {
            target: target.clone(),
            vm: vm.clone(),
        });
        match self.jobs_by_vm.get_mut(vm) {
            Some(jobs) => {
                jobs.insert(job);
            }
            None => {
                self.jobs_by_vm.insert(vm.clone(), BTreeSet::from([job]));
            }
        }
    }

    /// Engines with a part of `job`.
    pub(super) fn targets_of(&self, job: JobId) -> impl Iterator<Item = &TargetName> {
        let parts = self.parts_by_job.get(&job).into_iter().flatten();
        parts.map(|part| &part.target)
    }

    /// Jobs of which `vm` serves the requests.
    pub(super) fn jobs_of(&self, vm: &VmName) -> impl Iterator<Item = JobId> {
        self.jobs_by_vm.get(vm).into_iter().flatten().copied()
    }

    /// Removes a job, and returns the engines that have parts of it.
    pub(super) fn remove_job(&mut self, job: JobId) -> Vec<TargetName> {
        let parts = self.parts_by_job.remove(&job).unwrap_or_default();
        for part in &parts {
            self.remove_from_vm(job, &part.vm);
        }
        parts.into_iter().map(|part| part.target).collect()
    }

    /// Removes the parts of `jobs` on `target`.
    pub(super) fn remove_parts(&mut self, jobs: &[JobId], target: &TargetName) {
        for job in jobs {
            let Some(parts) = self.parts_by_job.get_mut(job) else {
                continue;
            };
            let removed = parts.extract_if(.., |part| part.target == *target);
            let mut vms: Vec<VmName> = removed.map(|part| part.vm).collect();
            vms.retain(|vm| parts.iter().all(|part| part.vm != *vm));
            if parts.is_empty() {
                self.parts_by_job.remove(job);
            }
            for vm in vms {
                self.remove_from_vm(*job, &vm);
            }
        }
    }

    fn remove_from_vm(&mut self, job: JobId, vm: &VmName) {
        if let Some(jobs) = self.jobs_by_vm.get_mut(vm) {
            jobs.remove(&job);
            if jobs.is_empty() {
                self.jobs_by_vm.remove(vm);
            }
        }
    }
}
