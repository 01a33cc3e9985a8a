package upstream

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseAnnouncementNamesTheInvalidField(t *testing.T) {
	tests := []struct {
		name  string
		text  string
		field string
	}{
		{name: "valid", text: `{"service":"roster","address":"10.0.0.7:80","slots":6,"connections":250}`},
		{name: "no service", text: `{"address":"10.0.0.7:80","slots":6}`, field: "service"},
		{name: "host name", text: `{"service":"roster","address":"db:80","slots":6}`, field: "address"},
		{name: "no slots", text: `{"service":"roster","address":"10.0.0.7:80"}`, field: "slots"},
		{name: "negative connections", text: `{"service":"roster","address":"10.0.0.7:80","slots":6,"connections":-1}`, field: "connections"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ParseAnnouncement([]byte(test.text))
			var fieldError AnnouncementError
			if test.field == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.As(err, &fieldError), qt.IsTrue, qt.Commentf("error: %v", err))
			c.Assert(fieldError.Field, qt.Equals, test.field)
		})
	}
}

func FuzzParseAnnouncement(f *testing.F) {
	f.Add([]byte(`{"service":"roster","address":"10.0.0.7:80","slots":6,"connections":250}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := ParseAnnouncement(data)
		if err == nil && (a.Service == "" || a.Slots < 1 || a.Connections < 0) {
			t.Fatalf("invalid announcement %+v was accepted", a)
		}
	})
}
