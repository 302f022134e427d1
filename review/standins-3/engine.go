package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// An engine as a process of its own, so that it can be killed. It is a decode engine whose streams
// come with neither a length nor chunks and end with their connections, as the pages allow.
// Arguments: its id, address, number of events, bytes of an event, milliseconds between two events.
func engineMain(arguments []string) {
	id, address := arguments[0], arguments[1]
	events, _ := strconv.Atoi(arguments[2])
	eventBytes, _ := strconv.Atoi(arguments[3])
	gap, _ := strconv.Atoi(arguments[4])
	s := &server{id: id, stage: "decode", events: events, eventBytes: eventBytes}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println("can't listen:", err)
		os.Exit(2)
	}
	fmt.Println("listens")
	for {
		connection, err := listener.Accept()
		if err != nil {
			os.Exit(2)
		}
		go s.serveUnframed(connection, time.Duration(gap)*time.Millisecond)
	}
}

func (s *server) serveUnframed(connection net.Conn, gap time.Duration) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/v1/order" {
		_, _ = io.WriteString(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); r.Header.Get("X-Stage") != "" || expected != "" && expected != s.id {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
		return
	}
	fmt.Printf("run   %s at %s\n", attempt, s.id)
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nConnection: close\r\n\r\n", attempt, s.id)
	for n := 0; n < s.events && err == nil; n++ {
		time.Sleep(gap)
		if _, err = connection.Write(s.event(attempt, n)); err == nil {
			fmt.Printf("event %d of %d of %s at %s\n", n+1, s.events, attempt, s.id)
		}
	}
	fmt.Printf("ended %s at %s: %s\n", attempt, s.id, how(err))
}

// engineProcess is a running engine.
type engineProcess struct {
	command *exec.Cmd
	ended   chan struct{}
}

// startEngine starts an engine and registers it under its id.
func (f *fleet) startEngine(id, address string, s server) *engineProcess {
	self, err := os.Executable()
	if err != nil {
		fail("engine: %v", err)
	}
	command := exec.Command(self, "engine", id, address, fmt.Sprint(s.events), fmt.Sprint(s.eventBytes), fmt.Sprint(s.eventGap.Milliseconds()))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		fail("engine: %v", err)
	}
	if err := command.Start(); err != nil {
		fail("engine: %v", err)
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() || lines.Text() != "listens" {
		fail("engine: %s", lines.Text())
	}
	f.record.write("engine %s is started at %s", id, address)
	p := &engineProcess{command, make(chan struct{})}
	go func() {
		last := ""
		for lines.Scan() {
			if text := lines.Text(); strings.HasPrefix(text, "event") {
				last = text
			} else {
				f.record.write("%s", text)
			}
		}
		if last != "" {
			f.record.write("the last that %s wrote: %s", id, last)
		}
		_ = command.Wait()
		close(p.ended)
	}()
	f.engines = append(f.engines, p)
	entry := &server{id: id, service: "llm", stage: "decode", address: address, zone: zones[0], slots: 12, born: time.Now().UnixMilli()}
	f.store.put("servers", id, entry.entry("ready"))
	return p
}

// freeAddress returns an address that nothing listens at.
func (f *fleet) freeAddress() string {
	listener, err := net.Listen("tcp", f.nextIP()+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (p *engineProcess) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}
