package reducer

import (
	"maps"
	"slices"
	"time"
)

const (
	// answerTransferTimeout limits how long a stopping guard waits for the homes to confirm its
	// offers of answers.
	answerTransferTimeout = 3 * time.Second
	// maxOfferBytes and maxOfferAnswers limit the bytes of bodies and the number of answers in one
	// offer; a single larger body is still offered.
	maxOfferBytes   = 1 << 20
	maxOfferAnswers = 512
)

// KeptAnswer is the stored answer of a keyed attempt that a stopping guard sends to the home
// of its key.
type KeptAnswer struct {
	Service string
	Key     string
	Attempt AttemptID
	Answer  *StoredAnswer
}

// answerTransfer tracks the transfer of a stopping guard's answers to the homes of their keys.
type answerTransfer struct {
	// offers holds the number of unconfirmed offers by peer address.
	offers map[string]int
	// giveUp is when the guard stops waiting for confirmations.
	giveUp time.Time
}

// answersTransferred offers this guard's answers to the homes of their keys and reports
// whether all offers were confirmed or answerTransferTimeout has passed.
func (r *Reducer) answersTransferred() bool {
	if r.answerTransfer == nil {
		r.answerTransfer = &answerTransfer{offers: map[string]int{}, giveUp: r.now.Add(answerTransferTimeout)}
		r.offerAnswers()
	}
	return len(r.answerTransfer.offers) == 0 || !r.now.Before(r.answerTransfer.giveUp)
}

// offerAnswers sends each stored answer to the home of its key, if that is another node.
func (r *Reducer) offerAnswers() {
	byHome := map[string][]KeptAnswer{}
	for _, record := range r.attemptRecords.expiring {
		if record.answer == nil {
			continue
		}
		if home, ok := r.homeOf(record.name); ok {
			byHome[home] = append(byHome[home], KeptAnswer{
				Service: record.name.service, Key: record.name.key, Attempt: record.attempt, Answer: record.answer,
			})
		}
	}
	for _, home := range slices.Sorted(maps.Keys(byHome)) {
		for _, part := range splitAnswers(byHome[home]) {
			r.answerTransfer.offers[home]++
			r.emit(OfferAnswers{Address: home, Answers: part})
		}
	}
}

// splitAnswers divides answers into offers of bounded size.
func splitAnswers(answers []KeptAnswer) [][]KeptAnswer {
	var parts [][]KeptAnswer
	size := 0
	begin := 0
	for i, a := range answers {
		if i > begin && (size+len(a.Answer.Body) > maxOfferBytes || i-begin == maxOfferAnswers) {
			parts = append(parts, answers[begin:i])
			begin = i
			size = 0
		}
		size += len(a.Answer.Body)
	}
	return append(parts, answers[begin:])
}

// homeOf returns the address of the home of a key, and false if it is unknown or this node.
func (r *Reducer) homeOf(name keyName) (string, bool) {
	if issued, ok := parseIssuedKey(name.key); ok {
		p := r.members.byIncarnation[issued.incarnation]
		if p == nil || p.tier == tierSelf {
			return "", false
		}
		return p.member.ID().Address(), true
	}
	table := r.log.tables[name.service]
	if table == nil || table.version == 0 {
		return "", false
	}
	owner := table.partitions[partitionOf(name.key)].owner
	return owner.Address, owner.ID() != r.selfID()
}

// answerOfferEnded records that a home confirmed one offer.
func (r *Reducer) answerOfferEnded(e AnswerOfferEnded) {
	if r.answerTransfer == nil {
		return
	}
	r.answerTransfer.offers[e.Address]--
	if r.answerTransfer.offers[e.Address] <= 0 {
		delete(r.answerTransfer.offers, e.Address)
	}
}

// answersOffered stores the answers of a stopping guard whose keys have a record with the
// same attempt here, up to MaxKeys attempt records.
func (r *Reducer) answersOffered(e AnswersOffered) {
	for _, a := range e.Answers {
		record := r.keys.find(a.Service, a.Key)
		if record == nil || record.attempt != a.Attempt || r.attemptRecords.records[a.Attempt] != nil {
			continue
		}
		if len(r.attemptRecords.records) >= r.Settings.MaxKeys {
			break
		}
		r.attemptRecords.add(&attemptRecord{
			attempt: a.Attempt, name: record.name(), outcome: OutcomeRan, answer: a.Answer, expires: r.attemptExpiry(),
		})
		r.attemptRecords.answerBytes += len(a.Answer.Body)
		record.guard = r.selfID()
		if record.state == keyStateUnknown {
			record.state = keyStateRan
		}
	}
	r.attemptRecords.evictAnswers(r.Settings.MaxAnswerBytes)
	r.emit(AnswersReply{Work: e.Work})
}
