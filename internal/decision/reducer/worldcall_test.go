package reducer

import (
	"maps"
	"slices"
	"time"
)

// forwardCall forwards the call to the home of its key.
func (n *worldNode) forwardCall(e ForwardCall) {
	c := n.calls[e.Call]
	if c == nil {
		return
	}
	token := n.wait(e.Call)
	n.w.send(&delivery{to: e.Target.Address(), do: func(h *worldNode) {
		reply := func(outcome Outcome, notHome bool) {
			n.w.send(&delivery{to: n.address, do: func(to *worldNode) {
				if to != n {
					return
				}
				n.ifWaiting(e.Call, token, func(c *worldCall) {
					if notHome {
						n.step(HomeRefused{Call: e.Call})
						return
					}
					n.finish(c, outcome)
				})
			}, lost: func(bool) {
				n.ifWaiting(e.Call, token, func(*worldCall) { n.step(HomeLost{Call: e.Call, Sent: true}) })
			}})
		}
		if h.r.Self.Incarnation != e.Target.Incarnation() {
			reply(OutcomeUnknown, true)
			return
		}
		h.call(c.name, c.keyed, e.Key, c.deadline, true, reply)
	}, lost: func(sent bool) {
		n.ifWaiting(e.Call, token, func(*worldCall) { n.step(HomeLost{Call: e.Call, Sent: sent}) })
	}})
}

// call starts a "sign" call at the node if keyed is set, otherwise a "read" call.
func (n *worldNode) call(
	name keyName, keyed bool, key string, deadline time.Time, forwarded bool, finish func(Outcome, bool),
) {
	kind := "read"
	if keyed {
		kind = "sign"
	}
	n.callKind(kind, name, keyed, key, deadline, forwarded, finish)
}

// callKind starts a call of the given kind at the node, unless the node is dead or frozen.
func (n *worldNode) callKind(
	kind string, name keyName, keyed bool, key string, deadline time.Time, forwarded bool, finish func(Outcome, bool),
) {
	if !n.alive || n.frozen {
		return
	}
	c := &worldCall{id: CallID(n.id()), name: name, keyed: keyed, deadline: deadline, finish: finish}
	n.calls[c.id] = c
	n.step(CallArrived{
		Call: c.id, Service: worldService, Kind: kind, Key: key, Deadline: deadline.Add(n.skew),
		Retries: -1, Fingerprint: 7, Forwarded: forwarded,
	})
}

// finish ends the call with the given outcome.
func (n *worldNode) finish(c *worldCall, outcome Outcome) {
	if n.calls[c.id] == nil {
		return
	}
	delete(n.calls, c.id)
	n.w.outcomes[outcome]++
	n.step(CallEnded{Call: c.id})
	if c.finish != nil {
		c.finish(outcome, false)
	}
}

func (n *worldNode) relayAnswer(e RelayAnswer) {
	c := n.calls[e.Call]
	if c == nil {
		return
	}
	n.step(AnswerEnded{Call: e.Call, Attempt: e.Attempt, Whole: true})
	n.finish(c, OutcomeRan)
}

// rejectCall ends the call. If it is rejected as not run, it checks that none of its attempts
// ran.
func (n *worldNode) rejectCall(e RejectCall) {
	c := n.calls[e.Call]
	if c == nil {
		return
	}
	if e.NotHome {
		delete(n.calls, e.Call)
		n.step(CallEnded{Call: e.Call})
		c.finish(OutcomeUnknown, true)
		return
	}
	if e.Outcome == OutcomeNotRun {
		for _, attempt := range c.attempts {
			if n.w.starts[attempt] != "" && !n.w.startedNotRun[attempt] {
				for _, step := range n.r.Explain(string(attempt)) {
					n.w.t.Logf("%+v", step)
				}
				n.w.t.Fatalf("call %d on %s was answered not run, but %s started", e.Call, n.address, attempt)
			}
		}
	}
	n.finish(c, e.Outcome)
}

func (n *worldNode) cancelCall(e CancelCall) {
	c := n.calls[e.Call]
	if c == nil || !c.busy || len(c.attempts) == 0 {
		return
	}
	n.giveUp(c)
}

// giveUp cancels the call's attempt in flight: the entry treats it as lost at once, and the
// guard learns of it by a message.
func (n *worldNode) giveUp(c *worldCall) {
	attempt := AttemptID("")
	if state := n.r.calls[c.id]; state != nil && state.attempt != nil {
		attempt = state.attempt.id
	}
	n.ifWaiting(c.id, c.token, func(*worldCall) {
		n.step(AttemptLost{Call: c.id, Attempt: attempt, Sent: true})
	})
	for _, address := range n.w.addresses() {
		g := n.w.nodes[address]
		for _, id := range slices.Sorted(maps.Keys(g.works)) {
			if k := g.works[id]; k.attempt == attempt && k.entry == n {
				n.w.send(&delivery{to: address, do: func(to *worldNode) {
					if to == g {
						g.workLeft(id)
					}
				}, lost: func(bool) {}})
			}
		}
	}
}
