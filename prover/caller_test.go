package prover

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// completion is a caller's model request.
type completion struct {
	id      string
	account string
	prompt  string
	tokens  int
	// receivedTokens is the number of tokens that the caller already has.
	receivedTokens int
	// resent is true if the caller sent the request before.
	resent bool
}

// answer is the response or the error that a caller received.
type answer struct {
	status int
	// tokens are the received tokens; tokens[0] has the offset first+1.
	tokens []string
	first  int
	whole  bool
	// outcome and reason are read from the body of a refusal.
	outcome, reason string
	body            string
	replayed        bool
	err             error
}

func (a answer) text() string { return strings.Join(a.tokens, "") }

type refusalBody struct {
	Error struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	} `json:"error"`
}

// complete sends a model request to n and reads its token stream.
func (f *fleet) complete(ctx context.Context, n *node, c completion, onToken func(offset int)) answer {
	return complete(ctx, f.caller, address(n), c, onToken)
}

// complete sends a model request to the node at address to and reads its token
// stream. It calls onToken, unless nil, after each token.
func complete(ctx context.Context, client *http.Client, to string, c completion, onToken func(offset int)) answer {
	body, _ := json.Marshal(map[string]any{"model": "bitacoras", "prompt": c.prompt, "max_tokens": c.tokens, "stream": true})
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/v1/completions", strings.NewReader(string(body)))
	if c.id != "" {
		request.Header.Set("X-Request-Id", c.id)
	}
	if c.resent || c.receivedTokens > 0 {
		request.Header.Set("Last-Event-ID", strconv.Itoa(c.receivedTokens))
	}
	if c.account != "" {
		request.Header.Set("X-Account", c.account)
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, first: c.receivedTokens}
	}
	defer func() { _ = response.Body.Close() }()
	got := answer{status: response.StatusCode, first: c.receivedTokens}
	if response.StatusCode != http.StatusOK {
		got.parseRefusal(response.Body)
		return got
	}
	got.readEvents(response.Body, onToken)
	return got
}

func (a *answer) parseRefusal(body io.Reader) {
	data, _ := io.ReadAll(body)
	a.body = string(data)
	var refusal refusalBody
	_ = json.Unmarshal(data, &refusal)
	a.outcome, a.reason = refusal.Error.Outcome, refusal.Error.Reason
}

// readEvents reads server-sent events until the end of the stream.
func (a *answer) readEvents(body io.Reader, onToken func(offset int)) {
	scanner := bufio.NewScanner(body)
	event, offset := "", 0
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "id: "):
			offset, _ = strconv.Atoi(strings.TrimPrefix(line, "id: "))
		case line == "data: [DONE]":
			a.whole = true
		case strings.HasPrefix(line, "data: ") && event == "error":
			a.parseRefusal(strings.NewReader(strings.TrimPrefix(line, "data: ")))
		case strings.HasPrefix(line, "data: "):
			a.addToken(offset, strings.TrimPrefix(line, "data: "))
			if onToken != nil {
				onToken(offset)
			}
		}
	}
	a.err = scanner.Err()
}

func (a *answer) addToken(offset int, data string) {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	_ = json.Unmarshal([]byte(data), &chunk)
	if offset != a.first+len(a.tokens)+1 {
		a.reason = "token " + strconv.Itoa(offset) + " out of order"
		return
	}
	a.tokens = append(a.tokens, chunk.Choices[0].Text)
}

// expectedText returns the text that the emulated engines generate for a request.
func expectedText(c completion) string {
	return strings.Join(emulator.Generate(c.prompt, c.tokens), "")
}

// newKey returns a UUIDv7 of the synctest bubble's virtual time. uuid.NewV7 would
// use the latest time of all bubbles that run concurrently.
func newKey() string {
	key := uuid.New()
	milliseconds := uint64(time.Now().UnixMilli())
	var head [8]byte
	binary.BigEndian.PutUint64(head[:], milliseconds<<16)
	copy(key[:6], head[:6])
	key[6] = 0x70 | key[6]&0x0f
	return key.String()
}

// book sends a booking, a request that must not be executed twice.
func (f *fleet) book(ctx context.Context, n *node, key, body string, first bool) answer {
	return book(ctx, f.caller, address(n), key, body, first)
}

func book(ctx context.Context, client *http.Client, to, key, body string, first bool) answer {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+"/bookings", strings.NewReader(body))
	// Without GetBody http.Transport does not send the request again by itself.
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", key)
	if first {
		request.Header.Set("Idempotency-Key-First", "true")
	}
	return do(client, request)
}

// lookUp sends an idempotent GET request.
func (f *fleet) lookUp(ctx context.Context, n *node) answer {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(n)+"/history/17", nil)
	return do(f.caller, request)
}

func do(client *http.Client, request *http.Request) answer {
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := answer{status: response.StatusCode, replayed: response.Header.Get("Idempotent-Replayed") == "true"}
	if response.StatusCode != http.StatusOK {
		got.parseRefusal(response.Body)
		return got
	}
	data, err := io.ReadAll(response.Body)
	got.body, got.err = string(data), err
	return got
}

// executions returns how often the services together executed a key.
func (f *fleet) executions(key string) int {
	count := 0
	for _, service := range f.services {
		count += service.Executions()[key]
	}
	return count
}

// piecesInUse returns the number of memory pieces in use on all engines.
func (f *fleet) piecesInUse() int {
	held := 0
	for _, engine := range f.engines {
		held += engine.Counts().Held
	}
	return held
}

// getEntries returns the response of a node to GET /v1/entries.
func (f *fleet) getEntries(t *testing.T, n *node) answer {
	t.Helper()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address(n)+"/v1/entries", nil)
	return do(f.caller, request)
}

// entries returns the node addresses that a node tells callers to use.
func (f *fleet) entries(t *testing.T, n *node) []string {
	t.Helper()
	got := f.getEntries(t, n)
	var body struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("address answer %+v: %v", got, err)
	}
	var addresses []string
	for _, entry := range body.Entries {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}
