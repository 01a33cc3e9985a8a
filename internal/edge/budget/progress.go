package budget

import "time"

// progressWindow is the length of one of the two periods over which progress is counted.
const progressWindow = time.Second

// progress counts what a client has sent in the present period and in the one before.
type progress struct {
	began            time.Time
	present, earlier int64
}

// add counts bytes that have arrived.
func (p *progress) add(n int64, now time.Time) {
	p.advance(now)
	p.present += n
}

// recent returns the number of bytes that arrived within the last one to two periods.
func (p *progress) recent(now time.Time) int64 {
	p.advance(now)
	return p.present + p.earlier
}

// advance begins a new period when the present one is over.
func (p *progress) advance(now time.Time) {
	passed := now.Sub(p.began)
	switch {
	case passed < progressWindow:
	case passed < 2*progressWindow:
		p.began = p.began.Add(progressWindow)
		p.earlier, p.present = p.present, 0
	default:
		p.began = now
		p.earlier, p.present = 0, 0
	}
}
