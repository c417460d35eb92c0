package cloud

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/cloud"
)

const (
	maxBodyBytes = 64 << 10
	// maxWait bounds a long poll.
	maxWait = 30 * time.Second
)

// refusal is an answer that changes nothing.
type refusal struct {
	status  int
	code    cloud.ErrorCode
	message string
}

func (c *Cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cloud.PathPrices, c.servePrices)
	mux.HandleFunc("GET "+cloud.PathVMs, c.serveList)
	mux.HandleFunc("POST "+cloud.PathVMs, c.serveStart)
	mux.HandleFunc("DELETE "+cloud.PathVMs+"/{id}", c.serveStop)
	mux.HandleFunc("GET "+cloud.PathNotices, c.serveNotices)
	return mux
}

func (c *Cloud) servePrices(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	list := cloud.PriceList{Prices: []cloud.Price{}}
	for _, price := range c.prices {
		list.Prices = append(list.Prices, price)
	}
	c.mu.Unlock()
	sort.Slice(list.Prices, func(i, j int) bool {
		a, b := list.Prices[i], list.Prices[j]
		return a.FailureDomain+"\x00"+a.Class < b.FailureDomain+"\x00"+b.Class
	})
	answer(w, http.StatusOK, list)
}

// serveList includes stopped VMs, so that a caller sees how a start ended.
func (c *Cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	list := cloud.VMList{VMs: []cloud.VM{}}
	for _, id := range c.order {
		list.VMs = append(list.VMs, c.vms[id].vm)
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, list)
}

func (c *Cloud) serveStart(w http.ResponseWriter, r *http.Request) {
	var req cloud.StartRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		refuse(w, &refusal{http.StatusBadRequest, cloud.CodeBadRequest, err.Error()})
		return
	}
	vm, refused := c.start(&req)
	if refused != nil {
		refuse(w, refused)
		return
	}
	c.mu.Lock()
	lost := c.lost > 0
	if lost {
		c.lost--
	}
	c.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusCreated, vm)
}

func (c *Cloud) serveStop(w http.ResponseWriter, r *http.Request) {
	if !c.stop(r.PathValue("id")) {
		refuse(w, &refusal{http.StatusNotFound, cloud.CodeNotFound, "unknown VM"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveNotices waits for a notice after the given number.
func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(millis)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		list, changed := c.noticesAfter(after, time.Now())
		if list.Last != after {
			answer(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// noticesAfter returns the notices whose VM still runs and a channel that is
// closed at the next one.
func (c *Cloud) noticesAfter(after uint64, now time.Time) (cloud.NoticeList, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := cloud.NoticeList{Epoch: c.epoch, Last: uint64(len(c.notices)), Notices: []cloud.Notice{}}
	for _, notice := range c.notices[min(after, list.Last):] {
		m := c.vms[notice.VM]
		if m.vm.State == cloud.VMStopped {
			continue
		}
		notice.DeadlineMS = max(m.deadline.Sub(now).Milliseconds(), 0)
		list.Notices = append(list.Notices, notice)
	}
	return list, c.noticed
}

func refuse(w http.ResponseWriter, r *refusal) {
	answer(w, r.status, cloud.ErrorBody{Code: r.code, Message: r.message})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
