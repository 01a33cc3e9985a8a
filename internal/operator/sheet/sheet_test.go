package sheet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const header = "row,service,name,weight,deadline,length,idempotent,state\n"

func TestParseTakesASpreadsheetsExport(t *testing.T) {
	c := qt.New(t)
	services, err := Parse([]byte("\xef\xbb\xbfrow,service,name,weight,deadline,length,idempotent,state\r\n" +
		"kind,roster,read,3,250ms,short,yes,\r\n" +
		"kind,roster,\"sign\",5,2 s,Short,NO,\r\n" +
		"region,roster,Amman,2,,,,\r\n" +
		"upstream,roster,10.0.0.7:8080,,,,,leaving\r\n" +
		"upstream,roster,10.0.0.8:8080,,,,,gone\r\n" +
		",,,,,,,\r\n\r\n,\r\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(services, qt.DeepEquals, []reducer.ServicePlan{{
		Name: "roster",
		Kinds: []reducer.Kind{
			{Name: "read", Weight: 3, Allowance: 250 * time.Millisecond, Length: reducer.LengthShort, Idempotent: true},
			{Name: "sign", Weight: 5, Allowance: 2 * time.Second, Length: reducer.LengthShort},
		},
		Regions: []reducer.RegionWeight{{Region: "Amman", Weight: 2}},
		Leaving: []string{"10.0.0.7:8080"},
		Gone:    []string{"10.0.0.8:8080"},
	}})
}

func TestParseNamesRowAndColumnOfEachFault(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []Fault
	}{
		{name: "empty sheet", text: "", want: []Fault{{Row: 1}}},
		{name: "missing column", text: "row,service\nkind,a\n", want: []Fault{{Row: 1, Column: columnName}}},
		{name: "unknown row", text: header + "king,roster,read,1,1s,short,yes,\n", want: []Fault{{Row: 2, Column: columnRow}}},
		{name: "weight", text: header + "kind,roster,read,0,1s,short,yes,\n", want: []Fault{{Row: 2, Column: columnWeight}}},
		{name: "deadline", text: header + "kind,roster,read,1,soon,short,yes,\n", want: []Fault{{Row: 2, Column: columnDeadline}}},
		{name: "length", text: header + "kind,roster,read,1,1s,middle,yes,\n", want: []Fault{{Row: 2, Column: columnLength}}},
		{name: "idempotent", text: header + "kind,roster,read,1,1s,short,perhaps,\n", want: []Fault{{Row: 2, Column: columnIdempotent}}},
		{name: "kind twice", text: header + "kind,roster,read,1,1s,short,yes,\nkind,roster,read,1,1s,short,yes,\n", want: []Fault{{Row: 3, Column: columnName}}},
		{name: "upstream by name", text: header + "kind,roster,read,1,1s,short,yes,\nupstream,roster,db-7,,,,,gone\n", want: []Fault{{Row: 3, Column: columnName}}},
		{name: "state", text: header + "kind,roster,read,1,1s,short,yes,\nupstream,roster,10.0.0.1:1,,,,,away\n", want: []Fault{{Row: 3, Column: columnState}}},
		{name: "service without kinds", text: header + "region,roster,Amman,1,,,,\n", want: []Fault{{Row: 2, Column: columnService}}},
		{name: "service that can't begin a path", text: header + "kind,a/b,read,1,1s,short,yes,\n", want: []Fault{{Row: 2, Column: columnService}}},
		{name: "two faults in two rows", text: header + "kind,roster,read,x,1s,short,yes,\nregion,roster,Amman,1,2s,,,\n", want: []Fault{{Row: 2, Column: columnWeight}, {Row: 3, Column: columnDeadline}}},
		{name: "open quote", text: header + "kind,\"roster,read\n", want: []Fault{{Row: 2}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse([]byte(test.text))
			faults, ok := err.(Faults)
			c.Assert(ok, qt.IsTrue, qt.Commentf("error: %v", err))
			for i, want := range test.want {
				c.Assert(faults[i].Row, qt.Equals, want.Row)
				if want.Column != "" {
					c.Assert(faults[i].Column, qt.Equals, want.Column)
				}
				c.Assert(faults[i].Remedy, qt.Not(qt.Equals), "")
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(header + "kind,roster,read,3,250ms,short,yes,\n"))
	f.Add([]byte("\xef\xbb\xbf,,\n\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		services, err := Parse(data)
		if err != nil && services != nil {
			t.Fatal("a sheet with faults gave services")
		}
		for _, s := range services {
			if s.Name == "" || len(s.Kinds) == 0 {
				t.Fatalf("service %+v is not usable", s)
			}
		}
	})
}
