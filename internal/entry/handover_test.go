package entry

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/member"
)

// fakePeer is the only other daemon. It answers an offer when the test sends the
// answer.
type fakePeer struct {
	singleDaemonCluster
	offers   chan takeOverMessage
	answers  chan error
	releases chan releaseMessage
}

func newFakePeer() *fakePeer {
	return &fakePeer{offers: make(chan takeOverMessage, 10), answers: make(chan error), releases: make(chan releaseMessage, 10)}
}

func (*fakePeer) Peers() []member.Peer {
	return []member.Peer{{Identity: member.Identity{Name: "peer", Address: "peer:1"}, Status: member.Alive}}
}

func (p *fakePeer) Call(ctx context.Context, _, method string, params []byte) ([]byte, error) {
	if method != methodTakeOver {
		return nil, errors.ErrUnsupported
	}
	var message takeOverMessage
	if err := json.Unmarshal(params, &message); err != nil {
		return nil, err
	}
	p.offers <- message
	select {
	case err := <-p.answers:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *fakePeer) Notify(_ context.Context, _, method string, params []byte) error {
	var message releaseMessage
	if method != methodRelease || json.Unmarshal(params, &message) != nil {
		return errors.ErrUnsupported
	}
	p.releases <- message
	return nil
}

// handOver is a request that is offered to the fake peer after its first two
// tokens.
type handOver struct {
	*GomegaWithT
	service *Service
	engine  *fakeEngine
	peer    *fakePeer
	sink    *fakeSink
	gate    chan int
	// ended receives the error of the request.
	ended chan error
}

func startHandOver(t *testing.T, limit time.Duration, later ...script) *handOver {
	h := &handOver{GomegaWithT: NewWithT(t), peer: newFakePeer(), gate: make(chan int), ended: make(chan error, 1)}
	h.engine = &fakeEngine{scripts: append([]script{{tokens: 2, gate: h.gate}}, later...)}
	h.service = newTestService(t, h.engine, func(o *Options) { o.Cluster, o.Peers = h.peer, h.peer })
	begun := make(chan struct{}, answerTokens)
	h.sink = &fakeSink{onTokens: func() { begun <- struct{}{} }}
	go func() {
		_, err := h.service.Complete(t.Context(), testRequest(), h.sink)
		h.ended <- err
	}()
	<-begun
	<-begun
	h.Expect(h.service.HandOverAll(time.Now().Add(limit))).To(Equal(1))
	offer := h.awaitOffer()
	h.Expect(offer.Tokens).To(Equal(2))
	h.Expect(offer.Text).To(Equal("ab"))
	return h
}

func (h *handOver) awaitOffer() (offer takeOverMessage) {
	h.Eventually(h.peer.offers, 5*time.Second).Should(Receive(&offer))
	return offer
}

func (h *handOver) awaitEnd() (err error) {
	h.Eventually(h.ended, 5*time.Second).Should(Receive(&err))
	return err
}

// generate lets the engine go on to an offset and waits until its tokens were
// handled.
func (h *handOver) generate(offset int) {
	h.release(offset)
	h.release(offset)
}

// release lets the engine go on to an offset, or break the stream if it is
// negative.
func (h *handOver) release(offset int) {
	h.Eventually(h.gate, 5*time.Second).Should(BeSent(offset))
}

// answer lets the peer answer an offer.
func (h *handOver) answer(err error) {
	select {
	case h.peer.answers <- err:
	case <-time.After(5 * time.Second):
		h.Expect(false).To(BeTrue(), "no offer waits for an answer")
	}
}

// Guards against a request that is refused although its attempt would have gone
// on, because its attempt was cancelled before a peer was asked.
func TestRequestThatNoPeerTakesGoesOn(t *testing.T) {
	h := startHandOver(t, time.Minute)
	h.generate(4)
	h.answer(errors.New("draining"))
	h.release(answerTokens)
	h.Expect(h.awaitEnd()).To(Succeed())
	h.Expect(h.sink.text).To(Equal("abcdef"))
	h.Expect(h.engine.receivedRequests()).To(HaveLen(1))
}

// Guards against a caller that gets other tokens than the peer continues from,
// because tokens were delivered while the peer was asked.
func TestTokensAreHeldBackWhileAPeerIsAsked(t *testing.T) {
	h := startHandOver(t, time.Minute)
	h.generate(4)
	h.answer(nil)
	var moved *MovedError
	h.Expect(errors.As(h.awaitEnd(), &moved)).To(BeTrue())
	h.Expect(moved.Peer).To(Equal("peer"))
	h.Expect(h.sink.text).To(Equal("ab"))
	h.Expect(h.service.Journal("r").Read(0).Chunk.Text).To(Equal("ab"))
	h.Expect(h.peer.releases).To(BeEmpty())
}

// Guards against requests that no peer is asked for again after all refused once.
func TestPeersAreAskedAgain(t *testing.T) {
	h := startHandOver(t, time.Minute)
	h.answer(errors.New("draining"))
	h.generate(4)
	h.Expect(h.awaitOffer().Text).To(Equal("abcd"))
	h.answer(nil)
	var moved *MovedError
	h.Expect(errors.As(h.awaitEnd(), &moved)).To(BeTrue())
	h.Expect(h.sink.text).To(Equal("abcd"))
}

// Guards against an answer that is held back or given up, and a peer that
// generates it again, when it is complete before the peer answers.
func TestAnswerThatEndsWhileAPeerIsAskedIsDelivered(t *testing.T) {
	h := startHandOver(t, time.Minute)
	h.release(answerTokens)
	h.Expect(h.awaitEnd()).To(Succeed())
	h.Expect(h.sink.text).To(Equal("abcdef"))
	h.Eventually(h.peer.releases, 5*time.Second).Should(Receive(HaveField("RequestID", "r")))
}

// Guards against a refusal of a request that fails here while a peer accepts it.
func TestRequestThatFailsWhileAPeerIsAskedMoves(t *testing.T) {
	h := startHandOver(t, time.Minute, script{tokens: 0})
	h.release(-1)
	h.Eventually(func() int { return len(h.engine.receivedRequests()) }, 5*time.Second).Should(Equal(4))
	h.Consistently(h.ended, 50*time.Millisecond).ShouldNot(Receive())
	h.answer(nil)
	var moved *MovedError
	h.Expect(errors.As(h.awaitEnd(), &moved)).To(BeTrue())
}

// Guards against requests without an answer, or with a wrong run state, when the
// drain ends and no peer has accepted them.
func TestEndOfADrainRefusesRequests(t *testing.T) {
	h := startHandOver(t, 200*time.Millisecond)
	started := time.Now()
	h.answer(errors.New("draining"))
	h.awaitOffer()
	h.answer(errors.New("draining"))
	var refusal *RefusalError
	h.Expect(errors.As(h.awaitEnd(), &refusal)).To(BeTrue())
	h.Expect(refusal.Type).To(Equal(RefusedShutdown))
	h.Expect(refusal.Run).To(Equal(endpoint.RunUnknown))
	h.Expect(time.Since(started)).To(BeNumerically(">", 100*time.Millisecond))
}

// Guards against a refusal of a request whose peer accepts it just after the end
// of the drain.
func TestOfferOutlastsTheEndOfADrain(t *testing.T) {
	h := startHandOver(t, 50*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	h.answer(nil)
	var moved *MovedError
	h.Expect(errors.As(h.awaitEnd(), &moved)).To(BeTrue())
}

// Guards against two journals of one request at a peer, of which the caller may
// read the older one, and against work that nobody reads.
func TestRepeatedHandOverReplacesTheFirst(t *testing.T) {
	g := NewWithT(t)
	engine := &fakeEngine{scripts: []script{{tokens: 3, silent: true}}}
	s := newTestService(t, engine)
	cancelled := func() int {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		return engine.cancelled
	}
	take := func(text, offer string) {
		params, err := json.Marshal(takeOverMessage{Request: *testRequest(), Text: text, Tokens: len(text), Offer: offer})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = s.takeOver(t.Context(), params)
		g.Expect(err).NotTo(HaveOccurred())
	}
	release := func(offer string) {
		params, err := json.Marshal(releaseMessage{RequestID: "r", Offer: offer})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = s.release(t.Context(), params)
		g.Expect(err).NotTo(HaveOccurred())
	}
	take("a", "1")
	g.Eventually(engine.receivedRequests).Should(HaveLen(1))
	take("ab", "2")
	g.Eventually(engine.receivedRequests).Should(HaveLen(2))
	g.Eventually(cancelled).Should(Equal(1))
	release("1")
	g.Expect(s.Journal("r").Read(0).Chunk.Text).To(HavePrefix("ab"))
	g.Consistently(cancelled, 50*time.Millisecond).Should(Equal(1))
	release("2")
	g.Expect(s.Journal("r")).To(BeNil())
	g.Eventually(cancelled).Should(Equal(2))
}

// Guards against a request that a peer handed over before its first token and that counts as not run, because no endpoint takes
// it here: the peer may have sent it to an endpoint.
func TestRequestTakenOverMayHaveRunAtThePeer(t *testing.T) {
	g := NewWithT(t)
	s := newTestService(t, &fakeEngine{})
	request := testRequest()
	request.Model = "loaded nowhere"
	params, err := json.Marshal(takeOverMessage{Request: *request, Offer: "1"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.takeOver(t.Context(), params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return s.Journal("r").Read(0).Ended }, 5*time.Second).Should(BeTrue())
	var refusal *RefusalError
	g.Expect(errors.As(s.Journal("r").Read(0).Err, &refusal)).To(BeTrue())
	g.Expect(refusal.Run).To(Equal(endpoint.RunUnknown))
}

// offerWaiting starts a request whose model is not loaded yet and offers it to the fake peer. It returns the offer and the function
// that loads the model.
func offerWaiting(t *testing.T) (h *handOver, offer takeOverMessage, load func()) {
	h = &handOver{GomegaWithT: NewWithT(t), peer: newFakePeer(), gate: make(chan int), ended: make(chan error, 1), sink: &fakeSink{}}
	h.engine = &fakeEngine{scripts: []script{{tokens: 0, gate: h.gate}}}
	h.service = newTestService(t, h.engine, func(o *Options) {
		o.Cluster, o.Peers = h.peer, h.peer
		load = func() {
			o.Registry.Announce(endpoint.Announcement{
				ID: "e3", Incarnation: 1, BaseURL: "http://e3", FailureDomain: "a", Kind: endpoint.KindEngine, Slots: 4,
				State: endpoint.StateReady, LeaseMS: 60_000, KVCapacityTokens: 100_000, Models: []endpoint.LoadedModel{{Name: "late"}},
			}, time.Now())
		}
	})
	request := testRequest()
	request.Model = "late"
	go func() {
		_, err := h.service.Complete(t.Context(), request, h.sink)
		h.ended <- err
	}()
	h.Eventually(func() int { return h.service.HandOverAll(time.Now().Add(time.Minute)) }).Should(Equal(1))
	return h, h.awaitOffer(), load
}

// Guards against a peer that takes a request for not run although an attempt was sent here, and against one that takes a request
// for possibly run although none was.
func TestOfferTellsWhetherTheRequestMayHaveRun(t *testing.T) {
	t.Run("sent", func(t *testing.T) {
		h := startHandOver(t, time.Minute)
		h.answer(errors.New("draining"))
		offer := h.awaitOffer()
		h.Expect(offer.MayHaveRun).To(HaveValue(BeTrue()))
		h.answer(nil)
	})
	t.Run("waits for an endpoint", func(t *testing.T) {
		h, offer, _ := offerWaiting(t)
		h.Expect(offer.MayHaveRun).To(HaveValue(BeFalse()))
		h.answer(nil)
		var moved *MovedError
		h.Expect(errors.As(h.awaitEnd(), &moved)).To(BeTrue())
	})
}

// Guards against a peer that reports a request as not run, because the request was sent to an endpoint here after the offer and
// before the peer accepted it.
func TestRequestSentWhileAPeerIsAskedDoesNotMoveAsNotRun(t *testing.T) {
	h, offer, load := offerWaiting(t)
	h.Expect(offer.MayHaveRun).To(HaveValue(BeFalse()))
	load()
	h.Eventually(h.engine.receivedRequests, 5*time.Second).Should(HaveLen(1))
	h.answer(nil)
	h.Eventually(h.peer.releases, 5*time.Second).Should(Receive(HaveField("Offer", offer.Offer)))
	h.Expect(h.awaitOffer().MayHaveRun).To(HaveValue(BeTrue()))
	h.answer(nil)
	var moved *MovedError
	h.Expect(errors.As(h.awaitEnd(), &moved)).To(BeTrue())
}

// Guards against a run state that the receiver of a request drops: one that may have run counts as not run, or one that did not
// run counts as possibly run. The receiver states it again if it hands the request over in turn.
func TestRunStateOfARequestTakenOver(t *testing.T) {
	for value, run := range map[bool]endpoint.RunState{true: endpoint.RunUnknown, false: endpoint.NotRun} {
		g := NewWithT(t)
		s := newTestService(t, &fakeEngine{})
		request := testRequest()
		request.Model = "loaded nowhere"
		params, err := json.Marshal(takeOverMessage{Request: *request, Offer: "1", MayHaveRun: &value})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = s.takeOver(t.Context(), params)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(s.Journal("r").Request().MayHaveRun).To(Equal(value))
		g.Eventually(func() bool { return s.Journal("r").Read(0).Ended }, 5*time.Second).Should(BeTrue())
		var refusal *RefusalError
		g.Expect(errors.As(s.Journal("r").Read(0).Err, &refusal)).To(BeTrue())
		g.Expect(refusal.Run).To(Equal(run))
	}
}
