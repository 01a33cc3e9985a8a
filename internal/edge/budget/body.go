package budget

import (
	"errors"
	"io"
	"os"
	"time"
)

const (
	// firstStepBytes is the size of the first buffer of a body; each further one is twice as long.
	firstStepBytes = 4 << 10
	// LeastRate is the least rate of a body in bytes per second. It is below what the slowest links
	// carry; a client that stops short has none.
	LeastRate = 256
)

// ErrTooSlow is returned for a body that arrives at less than LeastRate.
var ErrTooSlow = errors.New("the body arrives too slowly; send it without pauses")

// Pace requires a body to arrive at LeastRate at least, counted over a window. The zero value requires nothing.
type Pace struct {
	// Window is the time over which the rate is counted.
	Window time.Duration
	// SetDeadline sets the time at which a read of the body fails; the zero time sets none.
	SetDeadline func(time.Time) error

	earned int64
}

// start sets the first deadline.
func (p *Pace) start() {
	if p.SetDeadline != nil {
		_ = p.SetDeadline(time.Now().Add(p.Window))
	}
}

// received moves the deadline once the bytes of a window have arrived.
func (p *Pace) received(n int) {
	if p.SetDeadline == nil {
		return
	}
	p.earned += int64(n)
	if float64(p.earned) >= LeastRate*p.Window.Seconds() {
		p.earned = 0
		_ = p.SetDeadline(time.Now().Add(p.Window))
	}
}

// end removes the deadline.
func (p *Pace) end() {
	if p.SetDeadline != nil {
		_ = p.SetDeadline(time.Time{})
	}
}

// ReadAll reads r to its end, but at most limit bytes. The buffer grows as bytes arrive, and its size is
// drawn from the account. On an error, the account is released.
func (a *Account) ReadAll(r io.Reader, limit int64, pace *Pace) ([]byte, error) {
	a.startReading()
	defer a.endReading()
	pace.start()
	data, err := a.readAll(r, limit, pace)
	if err == nil {
		pace.end()
		return data, nil
	}
	a.Release()
	return nil, a.explain(err, pace)
}

// explain replaces the error of an interrupted read by its cause.
func (a *Account) explain(err error, pace *Pace) error {
	switch {
	case errors.Is(err, ErrShort):
		return err
	case a.ended():
		return ErrShort
	case errors.Is(err, os.ErrDeadlineExceeded) && pace.SetDeadline != nil:
		a.Refuse(CauseSlowBody)
		return ErrTooSlow
	default:
		return err
	}
}

func (a *Account) readAll(r io.Reader, limit int64, pace *Pace) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			if int64(len(data)) >= limit {
				return data, nil
			}
			size := min(limit, max(firstStepBytes, 2*int64(cap(data))))
			if err := a.Draw(size - int64(cap(data))); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		a.received(n)
		pace.received(n)
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// drawingBody is a request's body that is drawn from an account as it is read.
type drawingBody struct {
	io.ReadCloser
	account *Account
	pace    *Pace
	// drawn is the number of bytes that are drawn and not yet read, and done is set after the last read.
	drawn int64
	done  bool
}

// newDrawingBody returns the body; the caller releases the account.
func newDrawingBody(body io.ReadCloser, account *Account, pace *Pace) *drawingBody {
	account.startReading()
	pace.start()
	return &drawingBody{ReadCloser: body, account: account, pace: pace}
}

// Read reads from the body. It returns ErrShort or ErrTooSlow if the client was ended.
func (d *drawingBody) Read(p []byte) (int, error) {
	if d.drawn == 0 {
		// Whoever reads it collects it in a buffer that doubles.
		if err := d.account.Draw(2 * firstStepBytes); err != nil {
			return 0, err
		}
		d.drawn = firstStepBytes
	}
	n, err := d.ReadCloser.Read(p[:min(int64(len(p)), d.drawn)])
	d.drawn -= int64(n)
	d.account.received(n)
	d.pace.received(n)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		d.end()
		d.pace.end()
		return n, err
	default:
		d.end()
		return n, d.account.explain(err, d.pace)
	}
}

// end marks the body as read.
func (d *drawingBody) end() {
	if !d.done {
		d.done = true
		d.account.endReading()
	}
}
