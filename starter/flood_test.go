package starter_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
)

const (
	// floodSeed selects the loopback addresses of TestFloods, apart from those of other seeds.
	floodSeed = 187
	// floodMemoryMb, floodMaxFiles and floodBodyBytes are half of what the smallest VM has, and of
	// the limit on bodies there, and a quarter of its file descriptors.
	floodMemoryMb  = 56
	floodMaxFiles  = 1025
	floodBodyBytes = 2 << 20
	// floodClients is how many clients play a form at once, floodDuration for how long. It is
	// more than the node has connections for.
	floodClients  = 600
	floodDuration = 4 * time.Second
	// floodRetryInterval is the time between two connections of a client.
	floodRetryInterval = 20 * time.Millisecond
	// floodReceiveBuffer is the receive buffer of a client that does not read, in bytes.
	floodReceiveBuffer = 4 << 10
	// floodSendBuffer is the send buffer of a client in bytes: what a node does not read is held
	// by the node.
	floodSendBuffer = 64 << 10
	// floodHeld is the time that clients name as their deadline.
	floodHeld = time.Minute
)

// The ports of a node's listeners.
const (
	callersPort   = 8144
	readinessPort = 8140
	directoryPort = 8143
	peersPort     = 7660
)

// floodClient is one client that is not well behaved.
type floodClient struct {
	connection net.Conn
	// path is what it asks for, and number tells its connection from all others.
	path   string
	number int64
}

// floodForm is what a crowd of such clients does.
type floodForm struct {
	// port is that of the listener, zero meaning the callers'.
	port int
	// path is the target, empty meaning a booking.
	path string
	// play sends what a client sends on one connection. The driver then reads until the node
	// closes the connection or the crowd ends, unless isSlowReader is set.
	play         func(c *floodClient) error
	isSlowReader bool
	// others is what other clients do instead, in turn with the first.
	others []floodForm
	// clients is the number of clients, zero meaning floodClients.
	clients int
	// prepare sets faults of the back ends.
	prepare func(s *soakRun)
	// meanwhile runs beside the crowd.
	meanwhile func(s *soakRun)
	// allNodes directs the crowd at all nodes and not only at node 0.
	allNodes bool
}

func (c *floodClient) write(text string) error {
	_, err := io.WriteString(c.connection, text)
	return err
}

// repeat writes a text until that fails, count times at most.
func (c *floodClient) repeat(count int, text string) error {
	for range count {
		if err := c.write(text); err != nil {
			return err
		}
	}
	return nil
}

const endless = 1 << 40

// begin writes the head of a request without its last line.
func (c *floodClient) begin(method string) error {
	return c.write(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: flood-%d\r\nX-Deadline-Ms: %d\r\nContent-Type: application/protobuf\r\n", method, c.path, routeHost, c.number, floodHeld.Milliseconds()))
}

// post writes the head of a request with a body and further header lines, each with its end.
func (c *floodClient) post(lines string) error {
	if err := c.begin(http.MethodPost); err != nil {
		return err
	}
	return c.write(lines + "\r\n")
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// floodPiece is a piece of a body, and floodChunk a chunk of it.
var (
	floodPiece = strings.Repeat("x", 16<<10)
	floodChunk = fmt.Sprintf("%x\r\n%s\r\n", len(floodPiece), floodPiece)
)

func bodyWhole(c *floodClient) error {
	if err := c.post(fmt.Sprintf("Content-Length: %d\r\n", floodBodyBytes)); err != nil {
		return err
	}
	return c.repeat(1, strings.Repeat("x", floodBodyBytes-1))
}

func bodyInPieces(c *floodClient) error {
	if err := c.post(fmt.Sprintf("Content-Length: %d\r\n", floodBodyBytes)); err != nil {
		return err
	}
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for range floodBodyBytes/len(floodPiece) - 1 {
		<-ticker.C
		if err := c.write(floodPiece); err != nil {
			return err
		}
	}
	return c.write(floodPiece[1:])
}

func largeChunks(c *floodClient) error {
	if err := c.post(chunkedLine); err != nil {
		return err
	}
	return c.repeat(floodBodyBytes/len(floodPiece)-1, floodChunk)
}

func smallChunks(c *floodClient) error {
	if err := c.post(chunkedLine); err != nil {
		return err
	}
	const chunks = 1 << 10
	return c.repeat(floodBodyBytes/chunks-1, strings.Repeat("1\r\nx\r\n", chunks))
}

func announcedTooLong(c *floodClient) error {
	if err := c.post("Content-Length: 1000000000000\r\n"); err != nil {
		return err
	}
	return c.repeat(endless, floodPiece)
}

func hugeChunk(c *floodClient) error {
	if err := c.post(chunkedLine + "\r\nffffffffff"); err != nil {
		return err
	}
	return c.repeat(endless, floodPiece)
}

func chunksWithoutEnd(c *floodClient) error {
	if err := c.post(chunkedLine); err != nil {
		return err
	}
	return c.repeat(endless, floodChunk)
}

func headerLineWithoutEnd(c *floodClient) error {
	if err := c.begin(http.MethodGet); err != nil {
		return err
	}
	if err := c.write("X-Noise: "); err != nil {
		return err
	}
	return c.repeat(endless, floodPiece)
}

func headerLinesWithoutEnd(c *floodClient) error {
	if err := c.begin(http.MethodGet); err != nil {
		return err
	}
	for n := 0; ; n++ {
		var lines strings.Builder
		for line := range 1 << 10 {
			_, _ = fmt.Fprintf(&lines, "x%x:\r\n", n<<10+line)
		}
		if err := c.write(lines.String()); err != nil {
			return err
		}
	}
}

// halfHeader sends a header of legal size but for its end, in many short lines.
func halfHeader(c *floodClient) error {
	if err := c.begin(http.MethodGet); err != nil {
		return err
	}
	return c.write(strings.Repeat("x:\r\n", 3800))
}

func trailersWithoutEnd(c *floodClient) error {
	if err := c.post(chunkedLine); err != nil {
		return err
	}
	if err := c.write(floodChunk + "0\r\n"); err != nil {
		return err
	}
	for n := 0; ; n++ {
		if err := c.write(fmt.Sprintf("X-T%d: %s\r\n", n, floodPiece)); err != nil {
			return err
		}
	}
}

func chunkExtensions(c *floodClient) error {
	if err := c.post(chunkedLine); err != nil {
		return err
	}
	return c.repeat(endless, strings.Repeat("1;x="+strings.Repeat("y", 2000)+"\r\nx\r\n", 8))
}

func chunkExtensionWithoutEnd(c *floodClient) error {
	if err := c.post(chunkedLine); err != nil {
		return err
	}
	if err := c.write("1;x="); err != nil {
		return err
	}
	return c.repeat(endless, floodPiece)
}

// pipelined sends requests without waiting for their answers.
func pipelined(c *floodClient) error {
	for {
		if err := c.begin(http.MethodGet); err != nil {
			return err
		}
		if err := c.write("\r\n"); err != nil {
			return err
		}
	}
}

// behindSlowAnswer sends a large body, and bytes without end while its answer is awaited.
func behindSlowAnswer(c *floodClient) error {
	if err := c.post(fmt.Sprintf("Content-Length: %d\r\n", floodBodyBytes)); err != nil {
		return err
	}
	if err := c.repeat(floodBodyBytes/len(floodPiece), floodPiece); err != nil {
		return err
	}
	return c.repeat(endless, floodPiece)
}

// ask sends one request without a body.
func ask(c *floodClient) error {
	if err := c.begin(http.MethodGet); err != nil {
		return err
	}
	return c.write("\r\n")
}

func askForStream(c *floodClient) error {
	body := strings.Repeat("x", 500)
	return c.post(fmt.Sprintf("X-Model: m\r\nX-Token-Counts: 1000,500\r\nX-Length-Hint: 400\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

const (
	lookUpPath  = "/look/7"
	quotePath   = "/quote/1"
	longPath    = "/long/1"
	slowPath    = "/slow/9"
	resolvePath = "/v1/resolve?name=" + routeHost + "&region=r&zone=south"
	readyPath   = "/v1/ready"
	peersPath   = "/twirp/foxtailspool.prober.Prober/Exchange"
)

// answerLargely makes plain back ends give large answers, and endStreams decode engines streams
// without end.
func answerLargely(s *soakRun) {
	for _, backend := range s.backends {
		if backend.service == "desk" {
			backend.instance.SetFaults(emulator.InstanceFaults{AnswerBytes: floodBodyBytes})
		}
	}
}

func streamWithoutEnd(s *soakRun) {
	for _, backend := range s.backends[2:4] {
		backend.instance.SetFaults(emulator.InstanceFaults{EndlessAnswers: 1000, EndlessForm: emulator.EndlessEvents})
	}
}

// atAllListeners returns a form whose clients turn to all listeners of a node, to each with more
// connections than it gives to all of them.
func atAllListeners(play func(*floodClient) error) floodForm {
	return floodForm{play: play, clients: 4 * floodClients, others: []floodForm{
		{port: directoryPort, path: resolvePath, play: play},
		{port: readinessPort, path: readyPath, play: play},
		{port: peersPort, path: peersPath, play: play},
	}}
}

func floodForms() map[string]floodForm {
	slowAnswers := floodForm{path: lookUpPath, play: ask, isSlowReader: true, prepare: answerLargely}
	slowStreams := floodForm{path: longPath, play: askForStream, isSlowReader: true, prepare: streamWithoutEnd}
	beside := func(form floodForm, play func(*floodClient) error) floodForm {
		form.others = []floodForm{{play: play}}
		return form
	}
	return map[string]floodForm{
		"bodies whole":                        {play: bodyWhole},
		"bodies in pieces":                    {play: bodyInPieces},
		"large chunks":                        {play: largeChunks},
		"small chunks":                        {play: smallChunks},
		"announced too long":                  {play: announcedTooLong},
		"huge chunk":                          {play: hugeChunk},
		"chunks without end":                  {play: chunksWithoutEnd},
		"header line without end":             {play: headerLineWithoutEnd},
		"header lines without end":            {play: headerLinesWithoutEnd},
		"half headers":                        {play: halfHeader},
		"trailers without end":                {play: trailersWithoutEnd},
		"chunk extensions":                    {play: chunkExtensions},
		"chunk extension without end":         {play: chunkExtensionWithoutEnd},
		"pipelined requests":                  {path: lookUpPath, play: pipelined},
		"pipelined requests, unread":          {path: lookUpPath, play: pipelined, isSlowReader: true},
		"bytes behind a slow answer":          {path: slowPath, play: behindSlowAnswer},
		"slow readers of answers":             slowAnswers,
		"slow readers of streams":             slowStreams,
		"slow readers of answers, bodies":     beside(slowAnswers, bodyWhole),
		"slow readers of streams, bodies":     beside(slowStreams, largeChunks),
		"streams of large bodies":             {path: quotePath, play: bodyWhole},
		"bodies while a node starts":          {play: bodyWhole, meanwhile: func(s *soakRun) { s.kill(0) }},
		"chunks while a node starts":          {play: largeChunks, meanwhile: func(s *soakRun) { s.kill(0) }},
		"bodies while a node drains":          {play: bodyWhole, meanwhile: func(s *soakRun) { s.end(0, syscall.SIGTERM, nil) }},
		"slow readers while a node drains":    {path: lookUpPath, play: ask, isSlowReader: true, prepare: answerLargely, meanwhile: func(s *soakRun) { s.end(0, syscall.SIGTERM, nil) }},
		"bodies at all nodes, owners as well": {play: bodyInPieces, meanwhile: sendQuotes, allNodes: true},
		"bodies in HTTP/2 streams":            {meanwhile: sendHTTP2Bodies},

		"directory: bodies whole":             {port: directoryPort, path: resolvePath, play: bodyWhole},
		"directory: chunks without end":       {port: directoryPort, path: resolvePath, play: chunksWithoutEnd},
		"directory: header lines without end": {port: directoryPort, path: resolvePath, play: headerLinesWithoutEnd},
		"directory: half headers":             {port: directoryPort, path: resolvePath, play: halfHeader},
		"directory: pipelined, unread":        {port: directoryPort, path: resolvePath, play: pipelined, isSlowReader: true},
		"readiness: bodies whole":             {port: readinessPort, path: readyPath, play: bodyWhole},
		"readiness: chunks without end":       {port: readinessPort, path: readyPath, play: chunksWithoutEnd},
		"readiness: header lines without end": {port: readinessPort, path: readyPath, play: headerLinesWithoutEnd},
		"readiness: half headers":             {port: readinessPort, path: readyPath, play: halfHeader},
		"readiness: pipelined, unread":        {port: readinessPort, path: readyPath, play: pipelined, isSlowReader: true},
		"peers: bodies whole":                 {port: peersPort, path: peersPath, play: bodyWhole},
		"peers: half headers":                 {port: peersPort, path: peersPath, play: halfHeader},
		"all listeners: half headers":         atAllListeners(halfHeader),
		"all listeners: bodies whole":         atAllListeners(bodyWhole),
	}
}

// TestFloods guards against clients that end or hang a process, or make it exceed its memory or
// its descriptors: many large bodies, chunks, headers or requests at once that stop before their
// end, or answers that nobody reads. The node serves an ordinary request afterwards.
func TestFloods(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes and takes several seconds for each form")
	}
	binary := buildProgram(t, false)
	forms := floodForms()
	for _, name := range slices.Sorted(maps.Keys(forms)) {
		form := forms[name]
		t.Run(name, func(t *testing.T) {
			s := newSoakRun(t, binary, floodSeed)
			s.kind, s.withRace, s.memoryMb, s.maxFiles = strainedSoak, false, floodMemoryMb, floodMaxFiles
			s.fleet.maxBodyBytes = floodBodyBytes
			defer s.close()
			s.startNodes()
			if form.prepare != nil {
				form.prepare(s)
			}
			watch := s.watchProcesses()
			s.flood(form)
			for _, backend := range s.backends {
				backend.instance.SetFaults(emulator.InstanceFaults{})
			}
			s.waitFor("node 0 serves an ordinary request", s.servesOrdinary)
			peak := watch()
			t.Logf("peaks of a process: %d MB of its own, %d MB with its sockets' bytes, %d descriptors; looked at %d times, its sockets %d times",
				peak.ownBytes>>20, peak.bytes>>20, peak.files, peak.looks, peak.socketLooks)
			if peak.bytes > floodMemoryMb<<20 {
				t.Errorf("a process has %d MB, with %d MB in its sockets; %d are allowed", peak.bytes>>20, (peak.bytes-peak.ownBytes)>>20, floodMemoryMb)
			}
			if peak.files > floodMaxFiles {
				t.Errorf("a process has %d descriptors, %d are allowed", peak.files, floodMaxFiles)
			}
		})
	}
}

// servesOrdinary reports whether node 0 answers a booking, and its other listeners a request.
func (s *soakRun) servesOrdinary() bool {
	if got := s.fleet.send(s.t.Context(), 0, booking()); got.status != http.StatusOK || got.truncated {
		return false
	}
	settings := s.fleet.nodes[0].settings
	return s.fleet.get(string(settings.ReadinessAddress), readyPath).status == http.StatusOK &&
		s.fleet.get(string(settings.DirectoryAddress), resolvePath).status == http.StatusOK
}

// flood plays a form until floodDuration has passed and all clients have gone.
func (s *soakRun) flood(form floodForm) {
	ctx, stop := context.WithTimeout(s.t.Context(), floodDuration)
	defer stop()
	var group sync.WaitGroup
	if form.meanwhile != nil {
		group.Go(func() { form.meanwhile(s) })
	}
	for number := range cmp.Or(form.clients, floodClients) {
		played := form
		if at := number % (1 + len(form.others)); at > 0 {
			played = form.others[at-1]
		}
		node := 0
		if form.allNodes {
			node = number % len(s.processes)
		}
		if played.play != nil {
			group.Go(func() { s.playForm(ctx, played, s.listenerAddress(node, played.port)) })
		}
	}
	<-ctx.Done()
	group.Wait()
}

func (s *soakRun) listenerAddress(node, port int) identifier.Address {
	if port == 0 {
		port = callersPort
	}
	return s.nodeAddress(node, port)
}

// playForm plays a form on one connection after the other until ctx ends.
func (s *soakRun) playForm(ctx context.Context, form floodForm, address identifier.Address) {
	path := form.path
	if path == "" {
		path = "/book/1"
	}
	for ctx.Err() == nil {
		if connection, err := dialFlood(ctx, form, address); err == nil {
			stopAbort := context.AfterFunc(ctx, func() { _ = connection.Close() })
			read := make(chan struct{})
			go func() {
				defer close(read)
				if form.isSlowReader {
					<-ctx.Done()
					return
				}
				_, _ = io.Copy(io.Discard, connection)
			}()
			client := &floodClient{connection: connection, path: path, number: s.fleet.sentCount.Add(1)}
			_ = form.play(client) // The node may close the connection at any time.
			<-read
			stopAbort()
			_ = connection.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(floodRetryInterval):
		}
	}
}

func dialFlood(ctx context.Context, form floodForm, address identifier.Address) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_SNDBUF, floodSendBuffer)
			if form.isSlowReader {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, floodReceiveBuffer)
			}
		})
	}}
	return dialer.DialContext(ctx, "tcp", string(address))
}

// sendQuotes sends quotes to all nodes, which their pool's owner places.
func sendQuotes(s *soakRun) {
	ctx, stop := context.WithTimeout(s.t.Context(), floodDuration)
	defer stop()
	for n := 0; ctx.Err() == nil; n++ {
		s.fleet.send(ctx, n%len(s.processes), quote())
	}
}

// sendHTTP2Bodies sends bodies that stop just short of their end in streams of HTTP/2.
func sendHTTP2Bodies(s *soakRun) {
	const connections, streams = 60, 20
	ctx, stop := context.WithTimeout(s.t.Context(), floodDuration)
	defer stop()
	var group sync.WaitGroup
	for range connections {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		for range streams {
			group.Go(func() {
				for ctx.Err() == nil {
					s.sendHTTP2Body(ctx, transport)
				}
			})
		}
		defer transport.CloseIdleConnections()
	}
	group.Wait()
}

func (s *soakRun) sendHTTP2Body(ctx context.Context, transport *http.Transport) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	go func() { _, _ = io.WriteString(writer, strings.Repeat("x", floodBodyBytes-1)) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(s.nodeAddress(0, callersPort))+"/book/1", reader)
	if err != nil {
		s.t.Error(err)
		return
	}
	request.Host, request.ContentLength = routeHost, floodBodyBytes
	request.Header.Set("X-Attempt-Id", fmt.Sprint("flood-", s.fleet.sentCount.Add(1)))
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(floodHeld.Milliseconds()))
	response, err := transport.RoundTrip(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	select {
	case <-ctx.Done():
	case <-time.After(floodRetryInterval):
	}
}
