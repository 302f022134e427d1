package recorder

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/storer"
)

// TestPages applies operations to a page of at most three keys. An input line is
// "operation key attempt [answer]". It prints the verdict and whether the page changed.
func TestPages(t *testing.T) {
	datadriven.Walk(t, "testdata/pages", func(t *testing.T, path string) {
		p := newPage()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				out.WriteString(applyLine(p, strings.Fields(line)))
			}
			for _, key := range sortedKeys(p) {
				e := p.Entries[key]
				fmt.Fprintf(&out, "%s: %s by %s\n", key, e.State, e.Attempt)
			}
			return out.String()
		})
	})
}

func applyLine(p *page, words []string) string {
	call := Call{Key: identifier.Key(words[1]), Attempt: identifier.Attempt(words[2])}
	var answer *Answer
	if len(words) > 3 {
		answer = &Answer{Status: 200, Body: []byte(words[3])}
	}
	op := newOperation(operationKind(words[0]), parsedKey{text: words[1]}, call, answer)
	const capacity = 3
	e := p.apply(op, capacity)
	verdict := string(e.result.claim.Verdict)
	if e.inNextPart {
		verdict = "elsewhere"
	}
	if e.result.claim.Answer != nil {
		verdict += " " + string(e.result.claim.Answer.Body)
	}
	return fmt.Sprintf("%s -> %s changed=%t\n", strings.Join(words, " "), verdict, e.changed)
}

func sortedKeys(p *page) []string {
	var keys []string
	for key := range p.Entries {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// A full page of the largest entries that the defaults allow stays below the
// platform's limit of 1 MB for an object.
func TestFullPageFitsObjectLimit(t *testing.T) {
	var options Options
	options.applyDefaults()
	p := newPage()
	for i := range options.MaxPageEntries {
		text := fmt.Sprintf("%0*d", maximumKeyBytes+len("#1733300000000"), i)
		call := Call{Attempt: identifier.Attempt(newKey(i, 0)), Node: identifier.Node(strings.Repeat("n", 64)), Incarnation: 1<<64 - 1, Fingerprint: 1<<64 - 1}
		answer := &Answer{Status: 200, ContentType: strings.Repeat("t", maximumContentTypeBytes), Body: make([]byte, options.MaxInlineAnswerBytes)}
		p.apply(newOperation(opClaim, parsedKey{text: text}, call, nil), options.MaxPageEntries)
		p.apply(newOperation(opAnswer, parsedKey{text: text}, call, answer), options.MaxPageEntries)
	}
	data, err := p.encode()
	if err != nil || len(data) > 1_000_000 || !p.Full {
		t.Fatalf("%d bytes, full %t, error %v", len(data), p.Full, err)
	}
	t.Logf("%d entries, %d bytes", len(p.Entries), len(data))
}

func FuzzKey(f *testing.F) {
	f.Add("0193a5b8-7c00-7000-8000-000000000001", int64(0))
	f.Add("0193a5b8-7c00-7000-8000-000000000001@plovdiv-1.7", int64(0))
	f.Add("order 17@", int64(1733300000000))
	f.Add("@.1", int64(-1))
	f.Fuzz(func(t *testing.T, text string, milliseconds int64) {
		var issued time.Time
		if milliseconds != 0 {
			issued = time.UnixMilli(milliseconds)
		}
		key, err := parseKey(identifier.Key(text), issued)
		if err != nil {
			return
		}
		if key.issued.IsZero() || !strings.HasPrefix(key.text, text) {
			t.Fatalf("key %+v", key)
		}
		if key.bound && !strings.HasSuffix(text, fmt.Sprintf("%d", key.incarnation)) &&
			!strings.Contains(text, string(key.node)+".") {
			t.Fatalf("binding %+v of %q", key, text)
		}
		l := (&Options{Shards: 16, BucketWidth: time.Second, Window: time.Minute}).layout()
		if at := key.location(&l); at.shard < 0 || at.shard >= l.Shards {
			t.Fatalf("location %+v", at)
		}
	})
}

func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"entries":{"k":{"state":"started","attempt":"a","node":"n","incarnation":1,"fingerprint":2}}}`))
	f.Add([]byte(`{"entries":{"k":{"state":"answered","answer":{"status":200,"body":"eA=="}}},"full":true}`))
	f.Add([]byte(`{"entries":{"k":null}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := decodePage(storer.Object{Spec: data})
		if err != nil {
			return
		}
		encoded, err := read.encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodePage(storer.Object{Spec: encoded})
		if err != nil {
			t.Fatal(err)
		}
		if len(again.Entries) != len(read.Entries) || again.Full != read.Full {
			t.Fatalf("%+v became %+v", read, again)
		}
		for key, e := range read.Entries {
			if !reflect.DeepEqual(e, again.Entries[key]) && len(e.answerBody()) > 0 {
				t.Fatalf("entry %q: %+v became %+v", key, e, again.Entries[key])
			}
		}
	})
}

func (e *entry) answerBody() []byte {
	if e.Answer == nil {
		return nil
	}
	return e.Answer.Body
}
