package reducer

import (
	"slices"

	"pgregory.net/rapid"
)

// execute executes an effect of the node's reducer in the simulation.
func (n *worldNode) execute(effect Effect) {
	switch e := effect.(type) {
	case SendAttempt:
		n.sendAttempt(e)
	case ForwardCall:
		n.forwardCall(e)
	case SettleAttempt:
		n.settleAttempt(e)
	case RelayAnswer:
		n.relayAnswer(e)
	case RejectCall:
		n.rejectCall(e)
	case CancelCall:
		n.cancelCall(e)
	case StartWork:
		n.startWork(e)
	case RefuseWork:
		n.refuseWork(e)
	case ReplayWork:
		n.replayWork(e)
	case OfferAnswers:
		n.w.send(&delivery{to: e.Address, do: func(p *worldNode) {
			id := WorkID(p.id())
			p.replies[id] = func(Effect) {}
			p.step(AnswersOffered{Work: id, Answers: e.Answers})
			n.step(AnswerOfferEnded{Address: e.Address})
		}, lost: func(bool) { n.step(AnswerOfferEnded{Address: e.Address}) }})
	case SettleReply, ExchangeReply, HandoverReply, AnswersReply:
		id := e.(WorkEffect).ForWork()
		n.replies[id](e)
		delete(n.replies, id)
	case AppendRecord:
		n.appendRecord(e)
	case SendExchange:
		n.askPeer(e)
	case OfferHandover:
		n.offerHandover(e)
	case SendSuspect:
		n.w.send(&delivery{to: e.Address, do: func(p *worldNode) { p.step(SuspectReceived{Suspect: e.Suspect}) }, lost: func(bool) {}})
	case ProbeUpstream:
		n.step(ProbeEnded{Healthy: true, Bytes: 100})
	case Stopped:
		n.alive = false
	}
}

// ifWaiting calls do with the call if its handler still waits for the operation that
// token identifies, and ends the wait.
func (n *worldNode) ifWaiting(id CallID, token int, do func(c *worldCall)) {
	c := n.calls[id]
	if c == nil || c.token != token {
		return
	}
	c.busy = false
	c.token++
	do(c)
}

// wait marks the call's handler as waiting for a new operation and returns the operation's
// token.
func (n *worldNode) wait(id CallID) int {
	c := n.calls[id]
	c.busy = true
	c.token++
	return c.token
}

func (n *worldNode) sendAttempt(e SendAttempt) {
	c := n.calls[e.Call]
	if c == nil {
		return
	}
	token := n.wait(e.Call)
	n.w.sentTo[e.Target.Address()]++
	if !e.Replay {
		c.attempts = append(c.attempts, e.Attempt)
	}
	back := func(ev Event) {
		n.w.send(&delivery{to: n.address, do: func(to *worldNode) {
			if to != n {
				return
			}
			n.ifWaiting(e.Call, token, func(*worldCall) { n.step(ev) })
		}, lost: func(bool) {
			n.ifWaiting(e.Call, token, func(*worldCall) {
				n.step(AttemptLost{Call: e.Call, Attempt: e.Attempt, Sent: true})
			})
		}})
	}
	// The message carries the remaining time, which the guard counts from the arrival. A
	// delayed attempt thus gets a later deadline.
	remaining := e.Deadline.Sub(n.w.now.Add(n.skew))
	arrive := func(g *worldNode) {
		id := WorkID(g.id())
		g.works[id] = &worldWork{
			attempt: e.Attempt, name: c.name, keyed: e.Keyed, replay: e.Replay, length: e.Length,
			reply: back, entry: n, call: e.Call,
		}
		if c.name.key == "" {
			g.works[id].name.key = e.Key
		}
		g.step(WorkArrived{
			Work: id, Attempt: e.Attempt, To: e.Target.Incarnation(), Service: worldService, Kind: e.Kind,
			Length: e.Length, Keyed: e.Keyed, Deadline: n.w.now.Add(g.skew).Add(remaining),
			Fingerprint: e.Fingerprint, Replay: e.Replay, Key: e.Key, RefuseIfBusy: e.RefuseIfBusy,
		})
	}
	d := &delivery{to: e.Target.Address(), do: arrive, lost: func(sent bool) {
		n.ifWaiting(e.Call, token, func(*worldCall) {
			n.step(AttemptLost{Call: e.Call, Attempt: e.Attempt, Sent: sent})
		})
	}}
	if e.Keyed && !e.Replay {
		d.again = func() *delivery {
			return &delivery{to: e.Target.Address(), lost: func(bool) {}, do: func(g *worldNode) {
				if g.r.Self.Incarnation == e.Target.Incarnation() {
					arrive(g)
				}
			}}
		}
	}
	n.w.send(d)
}

// startWork starts an attempt and checks that it may start: the node isn't leaving, the
// attempt was neither started nor reported not run before, and its key has not run.
func (n *worldNode) startWork(e StartWork) {
	k := n.works[e.Work]
	if n.leaveRequested || n.leavingInPlan() {
		n.w.t.Fatalf("%s started %s while leaving", n.address, k.attempt)
	}
	if slices.Contains(n.r.Plan().Spec().EvacuatedZones, n.r.Self.Zone) {
		n.w.t.Fatalf("%s started %s in an evacuated zone", n.address, k.attempt)
	}
	if k.replay {
		n.w.t.Fatalf("a replay of %s started a run", k.attempt)
	}
	if n.w.refused[k.attempt] {
		n.w.t.Fatalf("attempt %s started after it was reported not run", k.attempt)
	}
	if n.w.starts[k.attempt] != "" {
		n.w.t.Fatalf("attempt %s started twice", k.attempt)
	}
	n.w.starts[k.attempt] = n.address
	k.running = true
	if k.keyed {
		n.w.runs[k.name]++
		if n.w.runs[k.name] > 1 {
			n.w.t.Fatalf("key %v ran twice, the second time as %s on %s", k.name, k.attempt, n.address)
		}
	}
}

// leavingInPlan reports whether the node's plan lists its upstream as leaving.
func (n *worldNode) leavingInPlan() bool {
	for _, s := range n.r.Plan().Spec().Services {
		if slices.Contains(s.Leaving, "u"+n.address) {
			return true
		}
	}
	return false
}

// reportNotRun records that an attempt was reported not run, and checks that it was not
// started.
func (n *worldNode) reportNotRun(attempt AttemptID) {
	if n.w.starts[attempt] != "" && !n.w.startedNotRun[attempt] {
		n.w.t.Fatalf("attempt %s was reported not run after it started on %s", attempt, n.w.starts[attempt])
	}
	n.w.refused[attempt] = true
}

func (n *worldNode) refuseWork(e RefuseWork) {
	k := n.works[e.Work]
	delete(n.works, e.Work)
	switch {
	case e.Outcome == OutcomeNotRun && !k.replay:
		n.reportNotRun(k.attempt)
	case !k.replay:
		k.reply(AttemptLost{Call: k.call, Attempt: k.attempt, Sent: true, Dispatched: true})
		return
	}
	k.reply(AttemptRefused{Call: k.call, Attempt: k.attempt, Reason: e.Reason})
}

func (n *worldNode) replayWork(e ReplayWork) {
	k := n.works[e.Work]
	delete(n.works, e.Work)
	k.reply(AttemptAnswered{Call: k.call, Attempt: k.attempt, Status: e.Answer.Status})
}

// endWork ends a running attempt: how is "answered", "broken" for a connection that broke
// before the end of the answer, or "refused" for a refused connection to the upstream.
func (n *worldNode) endWork(id WorkID, how string) {
	k := n.works[id]
	delete(n.works, id)
	switch how {
	case "answered":
		n.step(WorkEnded{Work: id, Outcome: OutcomeRan, Status: 200, Answer: &StoredAnswer{Status: 200}})
		k.reply(AttemptAnswered{Call: k.call, Attempt: k.attempt, Status: 200})
	case "broken":
		n.step(WorkEnded{Work: id, Outcome: OutcomeUnknown})
		k.reply(AttemptLost{Call: k.call, Attempt: k.attempt, Sent: true, Dispatched: true})
	case "refused":
		// The upstream refused the connection, so the attempt did not run.
		n.w.startedNotRun[k.attempt] = true
		if k.keyed {
			n.w.runs[k.name]--
		}
		n.step(WorkEnded{Work: id, Outcome: OutcomeNotRun})
		n.reportNotRun(k.attempt)
		k.reply(AttemptRefused{Call: k.call, Attempt: k.attempt, Reason: RefusalNoUpstream})
	}
}

func (n *worldNode) settleAttempt(e SettleAttempt) {
	if n.calls[e.Call] == nil {
		return
	}
	token := n.wait(e.Call)
	asked := n.w.now
	answer := func(o Outcome) {
		n.ifWaiting(e.Call, token, func(*worldCall) {
			n.step(AttemptSettled{Call: e.Call, Attempt: e.Attempt, Outcome: o})
		})
	}
	n.w.send(&delivery{to: e.Target.Address(), do: func(g *worldNode) {
		id := WorkID(g.id())
		g.replies[id] = func(reply Effect) {
			outcome := reply.(SettleReply).Outcome
			if n.w.now.Sub(asked) > worldSettleTimeout {
				// The requester has closed its connection and does not receive the outcome.
				outcome = OutcomeUnknown
			}
			if outcome == OutcomeNotRun {
				g.reportNotRun(e.Attempt)
			}
			n.w.send(&delivery{
				to: n.address,
				do: func(to *worldNode) {
					if to == n {
						answer(outcome)
					}
				},
				lost: func(bool) { answer(OutcomeUnknown) },
			})
		}
		g.step(SettleRequested{Work: id, Attempt: e.Attempt, To: e.Target.Incarnation()})
	}, lost: func(bool) { answer(OutcomeUnknown) }})
}

// workLeft ends an attempt whose requester closed the connection.
func (n *worldNode) workLeft(id WorkID) {
	k := n.works[id]
	if k == nil {
		return
	}
	if k.running {
		n.endWork(id, "broken")
		return
	}
	n.step(WorkLeft{Work: id})
	delete(n.works, id)
}

// appendRecord appends a record to the log, and tries again while the log is down.
func (n *worldNode) appendRecord(e AppendRecord) {
	var try func(*worldNode)
	try = func(*worldNode) {
		if !n.w.logUp {
			n.w.send(&delivery{log: true, do: try, lost: func(bool) {}})
			return
		}
		n.w.log = append(n.w.log, e.Record)
		offset := int64(len(n.w.log))
		n.w.send(&delivery{to: n.address, do: func(to *worldNode) {
			if to == n {
				n.step(RecordAppended{ID: e.Record.ID, Offset: offset})
			}
		}, lost: func(bool) {}})
	}
	n.w.send(&delivery{log: true, do: try, lost: func(bool) {}})
}

func (n *worldNode) askPeer(e SendExchange) {
	n.w.send(&delivery{to: e.Address, do: func(p *worldNode) {
		id := WorkID(p.id())
		p.replies[id] = func(reply Effect) {
			r := reply.(ExchangeReply)
			n.w.send(&delivery{to: n.address, do: func(to *worldNode) {
				if to == n {
					n.step(ExchangeReceived{
						From: e.Address, Digest: r.Digest, Members: r.Members, Plan: r.Plan,
						State: r.State, Suspects: r.Suspects,
					})
				}
			}, lost: func(bool) {}})
		}
		p.step(ExchangeRequested{Work: id, Digest: e.Digest, Members: e.Members})
	}, lost: func(bool) { n.step(PeerSilent{Address: e.Address}) }})
}

// offerHandover sends the offer once or twice, so that duplicate offers are covered.
func (n *worldNode) offerHandover(e OfferHandover) {
	deliver := &delivery{to: e.Change.To.Address, do: func(p *worldNode) {
		id := WorkID(p.id())
		p.replies[id] = func(reply Effect) {
			accepted := reply.(HandoverReply).Accepted
			n.w.send(&delivery{to: n.address, do: func(to *worldNode) {
				if to == n {
					n.step(HandoverAnswered{Change: e.Change, Accepted: accepted})
				}
			}, lost: func(bool) {}})
		}
		p.step(HandoverOffered{Work: id, Change: e.Change, Records: e.Records, Final: e.Final})
	}, lost: func(bool) {}}
	n.w.send(deliver)
	if rapid.Bool().Draw(n.w.t, "offer twice") {
		twin := *deliver
		n.w.send(&twin)
	}
}
