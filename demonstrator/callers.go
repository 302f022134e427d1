package demonstrator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// The lengths of the generated answers, in tokens.
const (
	summaryTokens = 40
	// drainStreamTokens is long enough that a node starts to drain before the stream ends.
	drainStreamTokens = 200
	// drainAtToken is the offset of the token after which the node gets SIGTERM.
	drainAtToken = 20
)

// maxAnswerBytes limits how much of a response body is read.
const maxAnswerBytes = 1 << 20

// get sends a GET request and returns the status and the trimmed body.
func (d *Demonstrator) get(ctx context.Context, url string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	got, err := d.do(request)
	return got.status, got.body, err
}

// httpResponse is a response whose body has been read completely.
type httpResponse struct {
	status int
	body   string
	// replayed is true if the node returned the stored answer of an earlier execution.
	replayed bool
}

// do sends a request and reads the response body, up to maxAnswerBytes.
func (d *Demonstrator) do(request *http.Request) (httpResponse, error) {
	response, err := d.client.Do(request)
	if err != nil {
		return httpResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return httpResponse{
		status:   response.StatusCode,
		body:     strings.TrimSpace(string(body)),
		replayed: response.Header.Get("Idempotent-Replayed") == "true",
	}, err
}

// fetchEntries returns the addresses that a node lists for callers to connect to.
func (d *Demonstrator) fetchEntries(ctx context.Context, n *node) ([]string, error) {
	_, body, err := d.get(ctx, "http://"+n.callersAddress+"/v1/entries")
	if err != nil {
		return nil, err
	}
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		return nil, err
	}
	var addresses []string
	for _, entry := range answer.Entries {
		addresses = append(addresses, entry.Address)
	}
	return addresses, nil
}

// humidityLog returns a prompt with generated humidity readings, twelve for each day.
func humidityLog(days int) string {
	random := rand.New(rand.NewPCG(1, 2))
	var text strings.Builder
	text.WriteString("Explain the excursions in this humidity log of showcase 17.\n")
	for day := range days {
		for hour := 0; hour < 24; hour += 2 {
			fmt.Fprintf(&text, "day %d %02d:00 relative humidity %d%%\n", day+1, hour, 42+random.IntN(16))
		}
	}
	return text.String()
}

// completion describes a streamed model request.
type completion struct {
	address string
	prompt  string
	tokens  int
	// onToken, if not nil, is called after each token. Offsets start at 1.
	onToken func(offset int, text string)
}

func newCompletionRequest(ctx context.Context, address, model, prompt string, tokens int) (*http.Request, error) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Account", "audits")
	return request, nil
}

// stream sends a model request. It fails unless the text is exactly as the engine generates it.
func (d *Demonstrator) stream(ctx context.Context, c completion) error {
	request, err := newCompletionRequest(ctx, c.address, modelName, c.prompt, c.tokens)
	if err != nil {
		return err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	text, err := readTokens(response.Body, c.onToken)
	if err != nil {
		return err
	}
	if want := strings.Join(emulator.Generate(c.prompt, c.tokens), ""); text != want {
		return fmt.Errorf("the answer differs: got %d bytes, want %d", len(text), len(want))
	}
	return nil
}

// readTokens reads server-sent events up to "data: [DONE]" and returns their text.
// It fails if an offset is skipped or repeated, or if the stream ends early.
func readTokens(body io.Reader, onToken func(offset int, text string)) (string, error) {
	var text strings.Builder
	var offset, next int
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			return text.String(), nil
		}
		if _, err := fmt.Sscanf(line, "id: %d", &offset); err == nil {
			next++
			if offset != next {
				return "", fmt.Errorf("got token offset %d, want %d", offset, next)
			}
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		token, err := parseToken(data)
		if err != nil {
			return "", err
		}
		text.WriteString(token)
		if onToken != nil {
			onToken(offset, token)
		}
	}
	return "", errors.Join(errors.New("the stream ended without [DONE]"), scanner.Err())
}

func parseToken(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", err
	}
	if len(chunk.Choices) != 1 {
		return "", fmt.Errorf("not a token: %s", data)
	}
	return chunk.Choices[0].Text, nil
}

func (d *Demonstrator) summarise(ctx context.Context) error {
	var addresses []string
	listsAllNodes := func(ctx context.Context) bool {
		var err error
		addresses, err = d.fetchEntries(ctx, d.fleet.nodes[0])
		return err == nil && len(addresses) == nodeCount
	}
	if err := await(ctx, fmt.Sprintf("a list of entry addresses with %d nodes", nodeCount), listsAllNodes); err != nil {
		return err
	}
	prompt := humidityLog(14)
	d.printf("   %d bytes of log to %s:\n  ", len(prompt), addresses[0])
	err := d.stream(ctx, completion{
		address: addresses[0], prompt: prompt, tokens: summaryTokens,
		onToken: func(_ int, text string) { d.printf("%s", text) },
	})
	if err != nil {
		return err
	}
	d.printf("\n   %d tokens, byte for byte as the model generates them\n", summaryTokens)
	return nil
}

// badRequest is a request that a node must refuse with outcome not-run.
type badRequest struct {
	title  string
	body   string
	status int
	reason string
}

func (d *Demonstrator) showBadRequests(ctx context.Context) error {
	for _, bad := range []badRequest{
		{"an unknown model", `{"model": "nobody", "prompt": "x"}`, http.StatusNotFound, "no-route"},
		{"malformed JSON", `{"model": `, http.StatusBadRequest, "malformed"},
		{"an oversized body", `{"model": "` + modelName + `", "prompt": "` + strings.Repeat("x", bodyLimitKiB<<10) + `"}`, http.StatusRequestEntityTooLarge, "too-large"},
	} {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.fleet.nodes[0].callersAddress+"/v1/completions", strings.NewReader(bad.body))
		if err != nil {
			return err
		}
		got, err := d.do(request)
		if err != nil {
			return err
		}
		d.printf("   %s: %d %s\n", bad.title, got.status, got.body)
		hasReason := strings.Contains(got.body, `"outcome":"not-run"`) && strings.Contains(got.body, `"reason":"`+bad.reason+`"`)
		if got.status != bad.status || !hasReason {
			return fmt.Errorf("%s: want status %d, not-run, %s", bad.title, bad.status, bad.reason)
		}
	}
	return nil
}

// bookTwice sends one booking with the same idempotency key through two nodes. It
// fails unless both answers are equal and the service executed the booking once.
func (d *Demonstrator) bookTwice(ctx context.Context) error {
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	first, err := d.bookThrough(ctx, d.fleet.nodes[0], key.String())
	if err != nil {
		return err
	}
	again, err := d.bookThrough(ctx, d.fleet.nodes[1], key.String())
	if err != nil {
		return err
	}
	if first != again {
		return errors.New("the resend got another answer")
	}
	_, counts, err := d.get(ctx, "http://"+d.fleet.serviceAddress+"/counts")
	if err != nil {
		return err
	}
	d.printf("   executions by key, as the service counts them: %s\n", counts)
	if !strings.Contains(counts, fmt.Sprintf("%q:1", key)) {
		return errors.New("the booking was not executed exactly once")
	}
	return nil
}

func (d *Demonstrator) bookThrough(ctx context.Context, n *node, key string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callersAddress+"/bookings", strings.NewReader("showcase 17, Tuesday"))
	if err != nil {
		return "", err
	}
	request.Header.Set("Idempotency-Key", key)
	got, err := d.do(request)
	if err != nil {
		return "", err
	}
	d.printf("   through %s: %d %s (replayed: %t)\n", n.name, got.status, got.body, got.replayed)
	if got.status != http.StatusOK {
		return "", fmt.Errorf("booking through %s: status %d", n.name, got.status)
	}
	return got.body, nil
}

// drain sends SIGTERM to a node in mid-stream. It fails unless the stream completes,
// another node stops listing the address, and the process exits with code 0.
func (d *Demonstrator) drain(ctx context.Context) error {
	leaving := d.fleet.nodes[nodeCount-1]
	var signalErr error
	err := d.stream(ctx, completion{
		address: leaving.callersAddress, prompt: humidityLog(3), tokens: drainStreamTokens,
		onToken: func(offset int, _ string) {
			if offset == drainAtToken {
				d.printf("   SIGTERM to %s after token %d of %d\n", leaving.name, offset, drainStreamTokens)
				signalErr = leaving.process.terminate()
			}
		},
	})
	if err := errors.Join(err, signalErr); err != nil {
		return err
	}
	d.printf("   all %d tokens arrived, byte for byte as the model generates them\n", drainStreamTokens)
	listsRemainingNodes := func(ctx context.Context) bool {
		addresses, err := d.fetchEntries(ctx, d.fleet.nodes[0])
		return err == nil && len(addresses) == nodeCount-1 && !strings.Contains(strings.Join(addresses, " "), leaving.callersAddress)
	}
	if err := await(ctx, "a list of entry addresses without "+leaving.name, listsRemainingNodes); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := leaving.process.wait(ctx); err != nil {
		return err
	}
	d.printf("   %s is no longer listed to callers and has exited with code 0\n", leaving.name)
	return nil
}
