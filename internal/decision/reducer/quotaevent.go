package reducer

import "time"

// QuotaTokens is a number of tokens of one tenant's quota.
type QuotaTokens struct {
	Tenant string
	Tokens int
	// Ahead is the number of tokens that are requested in addition, for later calls, and Held the
	// number that the entry has.
	Ahead int
	Held  int
}

// The events of tenants' quotas.
type (
	// QuotaAnswered reports a holder's answer to RequestQuota.
	QuotaAnswered struct {
		Request uint64
		// Holder is false if the receiver of the request grants nothing now, because it is not
		// the holder or not yet.
		Holder  bool
		Granted []QuotaTokens
	}

	// QuotaRequestFailed reports that RequestQuota got no answer.
	QuotaRequestFailed struct{ Request uint64 }

	// QuotaRequested reports an entry's request for tokens of tenants' quotas; the reply is
	// QuotaReply.
	QuotaRequested struct {
		Work  WorkID
		Entry NodeID
		// Holder is the incarnation that the entry takes for the holder.
		Holder uint64
		// Uptime is the time since the start of the entry's process.
		Uptime time.Duration
		Wanted []QuotaTokens
	}
)

// The effects of tenants' quotas.
type (
	// RequestQuota requests tokens of tenants' quotas from the node that is taken for the holder.
	RequestQuota struct {
		Request uint64
		Target  NodeID
		// Uptime is the time since the start of this process.
		Uptime time.Duration
		Wanted []QuotaTokens
	}

	// QuotaReply replies to QuotaRequested.
	QuotaReply struct {
		Work WorkID
		// Holder is false if this node grants nothing now.
		Holder  bool
		Granted []QuotaTokens
	}
)

func (QuotaAnswered) event()      {}
func (QuotaRequestFailed) event() {}
func (QuotaRequested) event()     {}
func (RequestQuota) effect()      {}
func (QuotaReply) effect()        {}

// ForWork returns the ID of the request whose handler executes the effect.
func (e QuotaReply) ForWork() WorkID { return e.Work }
