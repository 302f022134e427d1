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

// The lengths of the answers, in tokens.
const (
	summaryTokens = 40
	// drainedTokens is long enough for a node to drain in the middle.
	drainedTokens = 200
	// drainAfter is the token at which the node is told to stop.
	drainAfter = 20
)

// maxAnswerBytes bounds what the scenes read of an answer.
const maxAnswerBytes = 1 << 20

func (d *Demonstrator) get(ctx context.Context, url string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	got, err := d.do(request)
	return got.status, got.body, err
}

// answer is what a caller got in one piece.
type answer struct {
	status int
	body   string
	// replayed tells that an earlier execution was answered again.
	replayed bool
}

// do sends a request and reads the whole answer.
func (d *Demonstrator) do(request *http.Request) (answer, error) {
	response, err := d.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answer{
		status:   response.StatusCode,
		body:     strings.TrimSpace(string(body)),
		replayed: response.Header.Get("Idempotent-Replayed") == "true",
	}, err
}

// entries asks a node which addresses callers should use.
func (d *Demonstrator) entries(ctx context.Context, n *node) ([]string, error) {
	_, body, err := d.get(ctx, "http://"+n.callers+"/v1/entries")
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

// humidityLog generates the readings of a showcase over some days.
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

// completion is a streamed model request.
type completion struct {
	address string
	prompt  string
	tokens  int
	// onToken runs after each token.
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

// stream sends a model request and checks its answer, byte by byte.
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

// readTokens reads server-sent events until the end of the stream, and checks
// that the offsets run without gap or repeat.
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
				return "", fmt.Errorf("token %d came at place %d", offset, next)
			}
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		token, err := tokenOf(data)
		if err != nil {
			return "", err
		}
		text.WriteString(token)
		if onToken != nil {
			onToken(offset, token)
		}
	}
	return "", errors.Join(errors.New("the stream was cut"), scanner.Err())
}

func tokenOf(data string) (string, error) {
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
	whole := func(ctx context.Context) bool {
		var err error
		addresses, err = d.entries(ctx, d.fleet.nodes[0])
		return err == nil && len(addresses) == nodeCount
	}
	if err := await(ctx, fmt.Sprintf("an address answer of %d nodes", nodeCount), whole); err != nil {
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
	d.printf("\n   %d tokens, each byte as the model makes it\n", summaryTokens)
	return nil
}

// badRequest is a request that has to be refused as not run.
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
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.fleet.nodes[0].callers+"/v1/completions", strings.NewReader(bad.body))
		if err != nil {
			return err
		}
		got, err := d.do(request)
		if err != nil {
			return err
		}
		d.printf("   %s: %d %s\n", bad.title, got.status, got.body)
		isTyped := strings.Contains(got.body, `"outcome":"not-run"`) && strings.Contains(got.body, `"reason":"`+bad.reason+`"`)
		if got.status != bad.status || !isTyped {
			return fmt.Errorf("%s: want status %d, not-run, %s", bad.title, bad.status, bad.reason)
		}
	}
	return nil
}

func (d *Demonstrator) book(ctx context.Context) error {
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
	_, counts, err := d.get(ctx, "http://"+d.fleet.service+"/counts")
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers+"/bookings", strings.NewReader("showcase 17, Tuesday"))
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

// drain stops a node while it streams. The stream goes on to its end, the other
// nodes leave it out of the address answer, and its process ends with success.
func (d *Demonstrator) drain(ctx context.Context) error {
	leaving := d.fleet.nodes[nodeCount-1]
	var stopped error
	err := d.stream(ctx, completion{
		address: leaving.callers, prompt: humidityLog(3), tokens: drainedTokens,
		onToken: func(offset int, _ string) {
			if offset == drainAfter {
				d.printf("   SIGTERM to %s after token %d of %d\n", leaving.name, offset, drainedTokens)
				stopped = leaving.process.terminate()
			}
		},
	})
	if err := errors.Join(err, stopped); err != nil {
		return err
	}
	d.printf("   all %d tokens came, each byte as the model makes it\n", drainedTokens)
	absent := func(ctx context.Context) bool {
		addresses, err := d.entries(ctx, d.fleet.nodes[0])
		return err == nil && len(addresses) == nodeCount-1 && !strings.Contains(strings.Join(addresses, " "), leaving.callers)
	}
	if err := await(ctx, "an address answer without "+leaving.name, absent); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := leaving.process.wait(ctx); err != nil {
		return err
	}
	d.printf("   %s is out of the address answer and has ended with exit code 0\n", leaving.name)
	return nil
}
