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
	// maxWait limits the duration of a long poll.
	maxWait = 30 * time.Second
)

// refusal is an error answer to a request that changed nothing.
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
	writeJSON(w, http.StatusOK, list)
}

// serveList lists all VMs. It includes stopped ones, so that a caller can learn
// the outcome of a start.
func (c *Cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	list := cloud.VMList{VMs: []cloud.VM{}}
	for _, id := range c.order {
		list.VMs = append(list.VMs, c.vms[id].vm)
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (c *Cloud) serveStart(w http.ResponseWriter, r *http.Request) {
	var req cloud.StartRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, cloud.CodeBadRequest, err.Error()})
		return
	}
	vm, refused := c.start(&req)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	c.mu.Lock()
	dropAnswers := c.dropAnswers > 0
	if dropAnswers {
		c.dropAnswers--
	}
	c.mu.Unlock()
	if dropAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, vm)
}

func (c *Cloud) serveStop(w http.ResponseWriter, r *http.Request) {
	if !c.stop(r.PathValue("id")) {
		writeRefusal(w, &refusal{http.StatusNotFound, cloud.CodeNotFound, "unknown VM"})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveNotices answers when there is a notice after the given sequence number,
// or when the time given in wait_ms has passed.
func (c *Cloud) serveNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		list, changed := c.noticesAfter(after, time.Now())
		if list.Last != after {
			writeJSON(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// noticesAfter returns the notices after a sequence number whose VMs have not
// stopped, and a channel that is closed when the next notice is added.
func (c *Cloud) noticesAfter(after uint64, now time.Time) (cloud.NoticeList, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := cloud.NoticeList{Epoch: c.epoch, Last: uint64(len(c.notices)), Notices: []cloud.Notice{}}
	for _, notice := range c.notices[min(after, list.Last):] {
		record := c.vms[notice.VM]
		if record.vm.State == cloud.VMStopped {
			continue
		}
		notice.DeadlineMS = max(record.deadline.Sub(now).Milliseconds(), 0)
		list.Notices = append(list.Notices, notice)
	}
	return list, c.noticed
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeJSON(w, r.status, cloud.ErrorBody{Code: r.code, Message: r.message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
