package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenpaddle/internal/connection/wire"
	"pollenpaddle/internal/model/run"
	"pollenpaddle/internal/request/runner"
)

const (
	// crashWindow is the time over which the crashes are judged that may be due to the tasks of a queue.
	crashWindow = 10 * time.Second
	// confinementThreshold is the number of crashes within crashWindow from which a queue may be confined.
	confinementThreshold = 3
	// confinementPeriod is the time without a crash under tasks of a confined queue after which it is released.
	confinementPeriod = 5 * time.Second
	// confinementDivisor divides the number of a service's agents; a confined queue gets the quotient, rounded up.
	confinementDivisor = 4
	// crashMergeWindow is the time within which reports about the worker of one agent concern the same crash. A worker
	// takes longer to restart.
	crashMergeWindow = 500 * time.Millisecond
	// crashSettleTime is the time after which the reports of all entries about a crash have arrived.
	crashSettleTime = 25 * time.Millisecond
	// crashAgeScale is the time from the start of a run to a crash at which the likelihood that the run caused it has
	// fallen to a third.
	crashAgeScale = 20 * time.Millisecond
	// crashListPeriod is how long before a crash a run has started at most to be listed by its agent.
	crashListPeriod = runner.SuspectStartWindow
	// suspectFactor is the factor by which a run of a task is more likely to have caused a crash if a worker has crashed
	// under the task before.
	suspectFactor = 10
	// minLikelihoodRatio is the lowest ratio of likelihoods that is assumed for one crash, so that a few crashes for other
	// reasons do not acquit a queue.
	minLikelihoodRatio = 0.05
	// minCauseOdds is the ratio of the likelihoods of the crashes, if tasks of the most likely queue have caused them or if
	// no task has, from which the queue may be confined.
	minCauseOdds = 3
	// minTrafficShare is the lowest share of the started runs that is assumed for a queue. Entries may get different
	// shares of its jobs.
	minTrafficShare = 0.02
	// confinementOdds is the ratio of the likelihoods of the crashes, between the most likely queue and the next one,
	// from which the most likely queue is confined.
	confinementOdds = 30
	// maxObservedCrashes bounds the number of crashes that are judged, and maxCrashQueues the number of queues of each.
	maxObservedCrashes = 64
	maxCrashQueues     = 64
)

// observedCrash is a crash of a worker with the queues whose runs it has ended.
type observedCrash struct {
	agent   string
	at      time.Duration // of the first report
	settled bool          // the crash is judged: crashSettleTime has passed
	runs    int           // listed runs
	// likelihoods is the sum of the likelihoods of the runs of each queue to have caused the crash, by the time from their
	// start to the crash, relative to that of a run that started at any time within crashListPeriod.
	likelihoods map[string]float64
}

// queueBlame attributes crashes to queues and decides which queues are confined.
type queueBlame struct {
	crashes  []*observedCrash
	confined map[string]time.Duration // time of the last crash of each confined queue
}

func newQueueBlame() queueBlame { return queueBlame{confined: map[string]time.Duration{}} }

// add records a report about a crash. The last argument tells whether a worker has crashed under a task before.
func (b *queueBlame) add(now time.Duration, report *wire.TaskCrashes, suspected func(run.TaskID) bool) {
	if len(report.Tasks) == 0 {
		return
	}
	if _, confined := b.confined[report.Queue]; confined {
		b.confined[report.Queue] = now
	}
	c := b.crashOf(now, report.Agent)
	if _, known := c.likelihoods[report.Queue]; !known && len(c.likelihoods) >= maxCrashQueues {
		return
	}
	for i, id := range report.Tasks {
		c.runs++
		relative := likelihood(report.Ages, i)
		if suspected(id) {
			relative *= suspectFactor
		}
		c.likelihoods[report.Queue] += relative
	}
}

// likelihood returns the likelihood that the run with the given index has caused a crash, relative to that of a run that
// started at any time within crashListPeriod.
func likelihood(ages []time.Duration, i int) float64 {
	if i >= len(ages) {
		return 1
	}
	age := max(0, ages[i])
	return float64(crashListPeriod) / float64(crashAgeScale) * math.Exp(-float64(age)/float64(crashAgeScale))
}

// crashOf returns the crash to which a report of now belongs.
func (b *queueBlame) crashOf(now time.Duration, agent string) *observedCrash {
	for _, c := range b.crashes {
		if c.agent == agent && now-c.at < crashMergeWindow {
			return c
		}
	}
	if len(b.crashes) >= maxObservedCrashes {
		b.crashes = slices.Delete(b.crashes, 0, 1)
	}
	c := &observedCrash{agent: agent, at: now, likelihoods: map[string]float64{}}
	b.crashes = append(b.crashes, c)
	return c
}

// settleAt returns when the next crash is to be judged; zero if there is none.
func (b *queueBlame) settleAt() time.Duration {
	for _, c := range b.crashes {
		if !c.settled {
			return c.at + crashSettleTime
		}
	}
	return 0
}

// explained reports whether a crash is attributed to a confined queue.
func (b *queueBlame) explained(c *observedCrash) bool {
	for queue := range c.likelihoods {
		if _, confined := b.confined[queue]; confined {
			return true
		}
	}
	return false
}

// judge returns the queue that is to be confined now, with the number of crashes on which that rests. The argument is
// the share of each queue in the started runs.
func (b *queueBlame) judge(now time.Duration, traffic map[string]float64) (queue string, crashes int) {
	b.crashes = slices.DeleteFunc(b.crashes, func(c *observedCrash) bool { return now-c.at > crashWindow })
	scores, listed, judged, runs := map[string]float64{}, map[string]int{}, 0, 0
	for _, c := range b.crashes {
		c.settled = now >= c.at+crashSettleTime
		if !c.settled || b.explained(c) {
			continue
		}
		judged, runs = judged+1, runs+c.runs
		for q := range c.likelihoods {
			listed[q]++
			scores[q] = 0
		}
	}
	for q := range traffic {
		if _, confined := b.confined[q]; !confined {
			scores[q] = 0
		}
	}
	if judged < confinementThreshold || len(scores) < 2 {
		return "", 0
	}
	for _, c := range b.crashes {
		if c.settled && !b.explained(c) {
			addScores(scores, c, traffic, float64(runs)/float64(judged))
		}
	}
	best, next := bestScores(scores)
	if listed[best] < confinementThreshold || scores[best] < math.Log(minCauseOdds) || scores[best]-next < math.Log(confinementOdds) {
		return "", 0
	}
	return best, listed[best]
}

// addScores adds to the score of each queue the logarithm of the ratio of two likelihoods: that of the runs listed for a
// crash if one of the queue's runs has caused it, and that if they only happened to start before it. The last argument is
// the mean number of runs that are listed for a crash.
func addScores(scores map[string]float64, c *observedCrash, traffic map[string]float64, runs float64) {
	for q := range scores {
		expected := max(minTrafficShare, traffic[q]) * runs
		scores[q] += math.Log(max(minLikelihoodRatio, c.likelihoods[q]/expected))
	}
}

// bestScores returns the queue with the highest score and the second-highest score.
func bestScores(scores map[string]float64) (best string, next float64) {
	next = math.Inf(-1)
	for i, q := range sortedKeys(scores) {
		switch {
		case i == 0:
			best = q
		case scores[q] > scores[best]:
			best, next = q, scores[best]
		default:
			next = max(next, scores[q])
		}
	}
	return best, next
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// confine confines a queue. The crashes in which its runs are listed are attributed to it.
func (b *queueBlame) confine(queue string) {
	for _, c := range b.crashes {
		if c.likelihoods[queue] > 0 {
			b.confined[queue] = max(b.confined[queue], c.at)
		}
	}
}

// release releases the queues whose last crash is confinementPeriod ago, and returns them. The crashes that were
// attributed to them are forgotten.
func (b *queueBlame) release(now time.Duration) (released []string) {
	for _, queue := range sortedKeys(b.confined) {
		if now-b.confined[queue] < confinementPeriod {
			continue
		}
		b.crashes = slices.DeleteFunc(b.crashes, func(c *observedCrash) bool { return c.likelihoods[queue] > 0 })
		released = append(released, queue)
	}
	for _, queue := range released {
		delete(b.confined, queue)
	}
	return released
}

// nextAt returns when judge or release is due next; zero if never.
func (b *queueBlame) nextAt() time.Duration {
	next := b.settleAt()
	for _, last := range b.confined {
		if at := last + confinementPeriod; next == 0 || at < next {
			next = at
		}
	}
	return next
}

// trafficCounter counts the ordered runs of a queue over about crashWindow.
type trafficCounter struct {
	runs float64
	at   time.Duration
}

func (t *trafficCounter) decayed(now time.Duration) float64 {
	return t.runs * math.Exp(-float64(now-t.at)/float64(crashWindow))
}

func (t *trafficCounter) add(now time.Duration) { t.runs, t.at = t.decayed(now)+1, now }

// trafficShares returns the share of each queue in the recently ordered runs.
func (m *Machine) trafficShares(now time.Duration) map[string]float64 {
	shares, sum := map[string]float64{}, 0.0
	for _, name := range sortedKeys(m.queues) {
		if runs := m.queues[name].traffic.decayed(now); runs > 0.5 {
			shares[name] = runs
			sum += runs
		}
	}
	for name := range shares {
		shares[name] /= sum
	}
	return shares
}

// updateConfinement confines and releases queues.
func (m *Machine) updateConfinement(now time.Duration) {
	b := &m.blame
	if at := b.nextAt(); at == 0 || now < at {
		return
	}
	if at := b.settleAt(); at != 0 && now >= at {
		if queue, crashes := b.judge(now, m.trafficShares(now)); queue != "" {
			b.confine(queue)
			m.poolsOutdated = true
			m.stats.Confinements++
			m.updatePools()
			m.emit(ConfinementChanged{Queue: queue, Confined: true, Crashes: crashes, Agents: m.poolOf(queue)})
		}
	}
	for _, queue := range b.release(now) {
		m.poolsOutdated = true
		m.emit(ConfinementChanged{Queue: queue})
	}
}

// updatePools chooses the agents of each confined queue among those of each service, if the agents, their services or
// the confined queues have changed.
func (m *Machine) updatePools() {
	if !m.poolsOutdated {
		return
	}
	m.poolsOutdated = false
	clear(m.openToAll)
	byService := map[string][]*agent{}
	for _, a := range m.sortedAgents {
		a.confinedQueues = a.confinedQueues[:0]
		byService[a.state.Service] = append(byService[a.state.Service], a)
	}
	for _, queue := range sortedKeys(m.blame.confined) {
		for _, agents := range byService {
			for _, a := range choosePool(queue, agents) {
				a.confinedQueues = append(a.confinedQueues, queue)
			}
		}
	}
	for service, agents := range byService {
		m.openToAll[service] = slices.ContainsFunc(agents, func(a *agent) bool { return len(a.confinedQueues) == 0 })
	}
}

// choosePool chooses the agents of a confined queue by rendezvous hashing, so that all entries choose the same ones.
func choosePool(queue string, agents []*agent) []*agent {
	weight := func(a *agent) uint64 { return xxhash.Sum64String(queue + "\x00" + a.id.ID) }
	ranked := slices.SortedFunc(slices.Values(agents), func(a, b *agent) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.id.ID, b.id.ID))
	})
	return ranked[:(len(ranked)+confinementDivisor-1)/confinementDivisor]
}

// poolOf returns the ids of the agents of a confined queue.
func (m *Machine) poolOf(queue string) (ids []string) {
	for _, a := range m.sortedAgents {
		if slices.Contains(a.confinedQueues, queue) {
			ids = append(ids, a.id.ID)
		}
	}
	return ids
}

// confined reports whether a queue is confined.
func (m *Machine) confined(queue string) bool {
	_, confined := m.blame.confined[queue]
	return confined
}

// serves reports whether an agent may get runs of a submission as far as its service and the confinement of queues are
// concerned: a confined queue runs on its own agents only, and the other queues avoid these if the service has others.
func (m *Machine) serves(a *agent, s *Submission) bool {
	switch {
	case a.state.Service != s.Service:
		return false
	case len(m.blame.confined) == 0:
		return true
	case m.confined(s.Queue):
		return slices.Contains(a.confinedQueues, s.Queue)
	}
	return len(a.confinedQueues) == 0 || !m.openToAll[s.Service]
}
