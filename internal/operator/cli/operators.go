package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/integrii/flaggy"
	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
	"github.com/tanagerline/tanagerline/internal/mesh/node"
	"github.com/tanagerline/tanagerline/internal/operator/console"
	"github.com/tanagerline/tanagerline/internal/operator/settings"
)

const (
	operatorTimeout = 3 * time.Second
	// askedAtOnce bounds how many nodes a command asks at the same time.
	askedAtOnce = 32
)

// operatorFlags name a node's operators' listener and the keys to reach it.
type operatorFlags struct {
	node string
	tls  settings.TLS
}

func (f *operatorFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.node, "n", "node", "The operators' address of any node, such as 127.0.0.1:9100.")
	sub.String(&f.tls.Certificate, "", "certificate", "The operator's certificate, where nodes use TLS.")
	sub.String(&f.tls.Key, "", "key", "The certificate's key.")
	sub.String(&f.tls.Authority, "", "authority", "The authority's certificate.")
}

// operators asks nodes over their operators' listeners.
type operators struct {
	scheme string
	client *http.Client
}

func (f *operatorFlags) connect() (*operators, error) {
	if f.node == "" {
		return nil, UsageError{Remedy: "name a node's operators' address with --node ADDRESS"}
	}
	config, err := node.ClientTLS(f.tls)
	if err != nil {
		return nil, err
	}
	o := &operators{scheme: "http", client: &http.Client{Timeout: operatorTimeout}}
	if config != nil {
		o.scheme = "https"
		o.client.Transport = &http.Transport{TLSClientConfig: config}
	}
	return o, nil
}

func (o *operators) console(address string) console.Console {
	return console.NewConsoleProtobufClient(o.scheme+"://"+address, o.client)
}

// status returns what a node knows.
func (o *operators) status(ctx context.Context, address string) (reducer.Status, error) {
	resp, err := o.console(address).Status(ctx, &console.StatusRequest{})
	if err != nil {
		return reducer.Status{}, oops.Wrapf(err, "ask node %s; check --node and that the node runs", address)
	}
	var status reducer.Status
	if err := json.Unmarshal(resp.GetJson(), &status); err != nil {
		return reducer.Status{}, oops.Wrapf(err, "node %s: its status is not JSON", address)
	}
	return status, nil
}

// nodeAnswer is the plan that is in force at one node, or why it is not known.
type nodeAnswer struct {
	member     reducer.MemberSpec
	planOffset int64
	planID     string
	err        error
}

// all asks a node for its status, and every member that it knows for its plan.
func (o *operators) all(ctx context.Context, address string) (reducer.Status, []nodeAnswer, error) {
	first, err := o.status(ctx, address)
	if err != nil {
		return reducer.Status{}, nil, err
	}
	answers := make([]nodeAnswer, len(first.Members))
	eachMember(first.Members, func(i int, m reducer.MemberSpec) {
		resp, err := o.console(m.Operators).Status(ctx, &console.StatusRequest{Brief: true})
		answers[i] = nodeAnswer{member: m, planOffset: resp.GetPlanOffset(), planID: resp.GetPlanId(), err: err}
	})
	return first, answers, nil
}

// eachMember asks for every member, several at a time.
func eachMember(members []reducer.MemberStatus, ask func(i int, m reducer.MemberSpec)) {
	slots := make(chan struct{}, askedAtOnce)
	var group sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			ask(i, m.MemberSpec)
		})
	}
	group.Wait()
}
