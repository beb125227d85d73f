//! Handles calls from peers and entries, and withdraws them when the caller gives up.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, Context, Handler};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tokio::sync::oneshot;

use super::actor::{PendingFollow, StewardActor};
use super::messages::{SubmitCall, WithdrawCall};
use super::writer::WriteState;
use crate::ledger::grant::TicketId;
use crate::view::record::ClaimEvent;
use crate::wire::message::StewardRefusal;
use crate::wire::server::CallHandler;
use crate::wire::{PeerCall, PeerReply};

const LOG_RETRY_DELAY_MS: u64 = 2_000;
const OWNERSHIP_RETRY_DELAY_MS: u64 = 250;

impl StewardActor {
    fn handle_call(&mut self, submit: SubmitCall, ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let SubmitCall {
            ticket,
            call,
            reply_sender,
        } = submit;
        let reply = match call {
            PeerCall::Heartbeat {
                heartbeat,
                loads,
                relayed,
            } => {
                self.failure_detector.record_contact(&heartbeat.vm, now);
                if self.core.record_heartbeat(&heartbeat, loads, &relayed, now) {
                    self.pull_records(&heartbeat.vm, ctx);
                }
                PeerReply::Heartbeat {
                    heartbeat: self.core.heartbeat(now),
                    loads: self.core.own_loads(),
                    relayed: self.core.relayed_reports(now),
                }
            }
            PeerCall::Probe { vm } => PeerReply::Probed {
                alive: self.failure_detector.is_alive(&vm, now),
            },
            PeerCall::Follow { after, wait_ms } => {
                if after >= self.core.view().offset() && wait_ms > 0 {
                    let until = now + Duration::from_millis(wait_ms);
                    self.pending_follows.push(PendingFollow {
                        after,
                        until,
                        reply_sender,
                    });
                    return;
                }
                self.follow_reply(after)
            }
            PeerCall::Snapshot => PeerReply::Snapshot {
                state: self.core.encode_view(),
            },
            PeerCall::AcquirePool(request) => {
                match self.core.queue_at_pool(ticket, &request, now) {
                    Some(refusal) => refusal,
                    None => {
                        self.reply_senders.insert(ticket, reply_sender);
                        self.dispatch_and_reply();
                        return;
                    }
                }
            }
            PeerCall::ReleasePool { pool, grants, end } => {
                self.core.with_pool(&pool, |ledger| {
                    for grant in grants {
                        ledger.release(grant, end, now);
                    }
                });
                self.dispatch_and_reply();
                PeerReply::Done
            }
            PeerCall::FirstToken {
                pool,
                grants,
                elapsed_ms,
            } => {
                self.core.with_pool(&pool, |ledger| {
                    for grant in grants {
                        ledger.record_first_token(grant, Duration::from_millis(elapsed_ms));
                    }
                });
                self.dispatch_and_reply();
                PeerReply::Done
            }
            PeerCall::AcquireTeam {
                team,
                tokens,
                deadline_ms,
            } => {
                let time_left = Duration::from_millis(deadline_ms);
                self.core.reserve_team_tokens(&team, tokens, time_left, now)
            }
            PeerCall::ReleaseTeam { team, grant } => {
                self.core.release_team(&team, grant);
                PeerReply::Done
            }
            PeerCall::Adopt { targets, teams } => {
                if self.core.adopt_grants(&targets, &teams, now) {
                    PeerReply::Done
                } else {
                    PeerReply::Refused {
                        refusal: StewardRefusal::NotOwner,
                        retry_after_ms: OWNERSHIP_RETRY_DELAY_MS,
                    }
                }
            }
            PeerCall::Append(events) => {
                self.append_claims(events, reply_sender);
                return;
            }
        };
        reply_sender.send(reply).ok();
    }

    fn append_claims(&mut self, events: Vec<ClaimEvent>, reply_sender: oneshot::Sender<PeerReply>) {
        let (sender, receiver) = oneshot::channel();
        self.writer.add_claims(events, sender);
        actix_rt::spawn(async move {
            let reply = match receiver.await {
                Ok(WriteState::Accepted | WriteState::Ignored) => PeerReply::Done,
                _ => PeerReply::Refused {
                    refusal: StewardRefusal::LogUnavailable,
                    retry_after_ms: LOG_RETRY_DELAY_MS,
                },
            };
            reply_sender.send(reply).ok();
        });
    }
}

impl Handler<SubmitCall> for StewardActor {
    type Result = ();

    fn handle(&mut self, submit: SubmitCall, ctx: &mut Self::Context) {
        self.handle_call(submit, ctx);
    }
}

impl Handler<WithdrawCall> for StewardActor {
    type Result = ();

    fn handle(&mut self, call: WithdrawCall, _: &mut Self::Context) {
        self.reply_senders.remove(&call.ticket);
        self.core.cancel(call.ticket);
        if let Some(reply) = call.undelivered {
            self.withdraw_grants(&reply);
        }
    }
}

/// Withdraws a call when it is dropped before the reply is delivered.
struct CallGuard {
    ticket: TicketId,
    addr: Addr<StewardActor>,
    receiver: Option<oneshot::Receiver<PeerReply>>,
}

impl CallGuard {
    /// Prevents the withdrawal: the actor replied, or dropped the call.
    fn disarm(&mut self) {
        self.receiver = None;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        receiver.close();
        self.addr.do_send(WithdrawCall {
            ticket: self.ticket,
            undelivered: receiver.try_recv().ok(),
        });
    }
}

/// Returns a handler for the wire server that forwards calls to the actor.
pub fn call_handler(addr: Addr<StewardActor>) -> CallHandler {
    let next_ticket = Rc::new(Cell::new(0_u64));
    Rc::new(move |call| -> LocalBoxFuture<'static, PeerReply> {
        let ticket = TicketId(next_ticket.get());
        next_ticket.set(next_ticket.get() + 1);
        let (sender, receiver) = oneshot::channel();
        addr.do_send(SubmitCall {
            ticket,
            call,
            reply_sender: sender,
        });
        let mut guard = CallGuard {
            ticket,
            addr: addr.clone(),
            receiver: Some(receiver),
        };
        async move {
            let reply = match guard.receiver.as_mut() {
                Some(receiver) => receiver.await.ok(),
                None => None,
            };
            guard.disarm();
            // Without a reply, the actor has stopped or dropped the call; the caller may retry.
            reply.unwrap_or(PeerReply::Refused {
                refusal: StewardRefusal::NotOwner,
                retry_after_ms: OWNERSHIP_RETRY_DELAY_MS,
            })
        }
        .boxed_local()
    })
}
