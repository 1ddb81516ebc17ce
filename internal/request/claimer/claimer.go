package claimer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A Claimer claims requests with an idempotency key. Its fields are set before Run.
type Claimer struct {
	Gone   func(incarnation string) bool                   // reports whether an instance has stopped for good
	Commit func(ctx context.Context, txn tabler.Txn) error // commits through the batcher of the domain; nil for CommitBatched
	Self   string                                          // own incarnation
	Store  storer.Store
	Table  tabler.Table
	Token  func() string

	batcher       *batcher
	mu            sync.Mutex
	active        map[string]bool       // tokens of requests that run here, or whose end is not written yet
	unwrittenEnds map[string]Claim      // by row; ended claims that could not be written yet
	withdrawals   map[string]withdrawal // by row; claims to withdraw
	started       sync.Once
	expiring      map[string]time.Time // by own row; when to delete it
}

const (
	batchInterval    = 40 * time.Millisecond // at most 25 batches a second for a failure domain
	maxBatch         = 256
	claimTimeout     = 3 * time.Second // to write one claim
	minPoll          = 50 * time.Millisecond
	maxPoll          = time.Second
	cleanUpInterval  = time.Second
	lateWriteTimeout = 30 * time.Second // after which a write with a lost response is not expected any more
	maxOutcomeSize   = 256 << 10        // largest body that is stored, in bytes
)

// A Ticket is a claim that this instance holds for one request.
type Ticket struct {
	claim Claim
	row   string
}

// An Outcome is how a claimed request ended.
type Outcome struct {
	Status int
	Type   string
	Body   []byte
}

// Begin claims a key. It returns a Ticket if the request may be dispatched, the
// Outcome of an earlier request with the key, or a *judge.Error.
func (c *Claimer) Begin(ctx context.Context, account, key, request string, retention time.Duration) (*Ticket, *Outcome, error) {
	t := &Ticket{row: Key(account, key), claim: Claim{
		Token: c.Token(), Claimant: c.Self, Request: request, Until: time.Now().Add(retention),
	}}
	wait := minPoll
	for {
		err := c.claim(ctx, t)
		var conflict *tabler.ConflictError
		if !errors.As(err, &conflict) {
			if err != nil {
				c.deactivate(t)
				return nil, nil, err
			}
			return t, nil, nil
		}
		outcome, again, err := c.resolveExisting(ctx, t)
		if err != nil || outcome != nil {
			c.deactivate(t)
			return nil, outcome, err
		}
		if again {
			continue
		}
		select {
		case <-ctx.Done():
			c.deactivate(t)
			return nil, nil, duplicate("the first request with this key still runs")
		case <-time.After(wait):
		}
		wait = min(2*wait, maxPoll)
	}
}

// End records how a claimed request ended. After NotRun the claim is withdrawn,
// so that the key may be used again; the claim of a request that may have run
// stays, without an outcome.
func (c *Claimer) End(ctx context.Context, t *Ticket, outcome *Outcome, failure *judge.Error) {
	if failure != nil && failure.Verdict == judge.NotRun {
		c.deactivate(t)
		c.scheduleWithdrawal(t)
		return
	}
	claim := t.claim
	claim.Ended = true
	if outcome != nil && len(outcome.Body) <= maxOutcomeSize {
		claim.Status = outcome.Status
		claim.Type = outcome.Type
		claim.Object = c.storeBody(ctx, t, outcome)
	}
	err := c.put(ctx, t.row, claim, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiring[t.row] = claim.Until
	if err != nil {
		c.unwrittenEnds[t.row] = claim
		return
	}
	delete(c.active, claim.Token)
}

// CommitBatched commits a transaction in a batch with others that arrive at about the
// same time from this instance and from peers that route theirs here. It needs
// no lease: the checks of the table decide, whichever instance writes.
func (c *Claimer) CommitBatched(ctx context.Context, txn tabler.Txn) error {
	c.init()
	return c.batcher.commit(ctx, txn)
}

// Run commits batches and withdraws and deletes claims until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	c.init()
	go c.batcher.run(ctx)
	repeater.Every(ctx, cleanUpInterval, nil, func() { c.cleanUp(ctx, time.Now()) })
}

func (c *Claimer) init() {
	c.started.Do(func() {
		c.batcher = &batcher{table: c.Table, interval: batchInterval, maxSize: maxBatch, queue: make(chan *pending, maxBatch)}
		c.active = make(map[string]bool)
		c.unwrittenEnds = make(map[string]Claim)
		c.withdrawals = make(map[string]withdrawal)
		c.expiring = make(map[string]time.Time)
	})
}

// claim writes the claim on the condition that none exists. After a lost
// response it is confirmed by reading back the token.
func (c *Claimer) claim(ctx context.Context, t *Ticket) error {
	c.init()
	c.mu.Lock()
	c.active[t.claim.Token] = true
	c.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := c.put(bounded, t.row, t.claim, &tabler.Check{Key: t.row})
	var conflict *tabler.ConflictError
	var unknown *tabler.UnknownError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return err
	case errors.As(err, &unknown):
		return c.confirm(ctx, t)
	default:
		return judge.Refuse(judge.ReasonClaim, "the claim could not be written: %v", err).WithRetryAfter(time.Second)
	}
}

// resolveExisting decides on an existing claim. It returns the outcome to replay, or
// whether to claim again at once.
func (c *Claimer) resolveExisting(ctx context.Context, t *Ticket) (*Outcome, bool, error) {
	claim, version, err := c.read(ctx, t.row)
	if err != nil {
		return nil, false, judge.Refuse(judge.ReasonClaim, "the claim could not be read: %v", err).WithRetryAfter(time.Second)
	}
	if version == 0 {
		return nil, true, nil // withdrawn in the meantime
	}
	if claim.Claimant == c.Self && !claim.Ended && !c.running(claim.Token) {
		c.withdraw(ctx, t.row, withdrawal{token: claim.Token}) // left by an abandoned write of this instance
		return nil, true, nil
	}
	switch decision := Decide(claim, t.claim.Request, time.Now(), c.Gone).(type) {
	case Mismatch:
		return nil, false, judge.Refuse(judge.ReasonDuplicate, "the key was used for another request; use a new key")
	case Indeterminate:
		return nil, false, duplicate("an earlier request with this key may have run and its outcome is not known")
	case Expired:
		c.withdraw(ctx, t.row, withdrawal{token: claim.Token})
		return nil, true, nil
	case Replay:
		return c.replay(ctx, decision.Claim)
	case InProgress:
		return nil, false, nil
	default:
		panic("claimer: unknown decision")
	}
}

func (c *Claimer) replay(ctx context.Context, claim Claim) (*Outcome, bool, error) {
	body, err := c.Store.Get(ctx, claim.Object)
	if err != nil {
		return nil, false, &judge.Error{Verdict: judge.Ran, Reason: judge.ReasonDuplicate, Message: "the first request ran; its outcome cannot be read now", RetryAfter: time.Second}
	}
	return &Outcome{Status: claim.Status, Type: claim.Type, Body: body}, false, nil
}

// deactivate records that a request no longer runs here.
func (c *Claimer) deactivate(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, t.claim.Token)
}

// storeBody stores the body of an outcome and returns its key; empty on failure.
func (c *Claimer) storeBody(ctx context.Context, t *Ticket, outcome *Outcome) string {
	key := "outcome/" + t.claim.Token
	if err := c.Store.Put(ctx, key, outcome.Body); err != nil {
		return ""
	}
	return key
}

func (c *Claimer) put(ctx context.Context, row string, claim Claim, check *tabler.Check) error {
	value, err := encoder.Marshal(claim)
	if err != nil {
		return err
	}
	txn := tabler.Txn{Puts: []tabler.Put{{Key: row, Value: value}}}
	if check != nil {
		txn.Checks = []tabler.Check{*check}
	}
	if c.Commit != nil {
		return c.Commit(ctx, txn)
	}
	return c.CommitBatched(ctx, txn)
}

func (c *Claimer) read(ctx context.Context, row string) (Claim, uint64, error) {
	r, err := c.Table.Get(ctx, row)
	if err != nil || r.Version == 0 {
		return Claim{}, 0, err
	}
	var claim Claim
	err = encoder.Unmarshal(r.Value, &claim)
	return claim, r.Version, err
}

// running reports whether the attempt with the token runs on this instance, or
// its end is not written yet.
func (c *Claimer) running(token string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active[token]
}

func duplicate(message string) *judge.Error {
	return &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonDuplicate, Message: message}
}
