package fleet

import (
	"encoding/json"
	"math"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/conf"
)

func exampleDocument(t testing.TB, name string) *conf.Document {
	data, err := os.ReadFile("../../../examples/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	doc := new(conf.Document)
	if err := json.Unmarshal(data, doc); err != nil {
		t.Fatal(err)
	}
	return doc
}

func newObservation(doc *conf.Document, tokens, urgent float64) *Observation {
	o := &Observation{Now: time.Unix(0, 0), Fleet: doc.Fleet, Models: doc.Models, Backoff: NewBackoff()}
	for _, model := range doc.Models {
		o.Demand = append(o.Demand, Demand{Model: model.Name, Tokens: tokens, Urgent: urgent})
	}
	return o
}

// applySteps applies the steps of a plan to the observation, like a cloud that
// grants every request.
func applySteps(o *Observation, plan Plan) {
	for _, step := range plan.Steps {
		switch step.Kind {
		case StepStart:
			o.Now = o.Now.Add(time.Millisecond)
			id := "vm" + strconv.FormatInt(o.Now.UnixMilli(), 10)
			o.VMs = append(o.VMs, VM{ID: id, Endpoint: id, Pool: step.Pool, Model: step.Model, State: VMStarting})
		case StepLoad:
			vm := findVM(o, step.VM)
			vm.Version = step.Version
			vm.State = VMServing
		case StepDrain:
			findVM(o, step.VM).State = VMLeaving
		case StepStop:
			for i := range o.VMs {
				if o.VMs[i].ID == step.VM {
					o.VMs = append(o.VMs[:i], o.VMs[i+1:]...)
					break
				}
			}
		}
	}
}

func findVM(o *Observation, id string) *VM {
	for i := range o.VMs {
		if o.VMs[i].ID == id {
			return &o.VMs[i]
		}
	}
	return nil
}

// applyUntilStable plans and applies the steps until a plan has none. It reports
// whether that happened within 40 plans.
func applyUntilStable(o *Observation) bool {
	for range 40 {
		plan := MakePlan(o)
		if len(plan.Steps) == 0 {
			return true
		}
		applySteps(o, plan)
	}
	return false
}

// capacityAfterWorstLoss returns the capacity that serves a model after the loss
// of the failure domain with the most reclaimable capacity.
func capacityAfterWorstLoss(o *Observation, model string) float64 {
	speeds := map[string]float64{}
	for _, class := range o.Fleet.Classes {
		speeds[class.Name] = class.DecodeTokensPerS
	}
	total, lost := 0.0, map[string]float64{}
	for i := range o.VMs {
		vm := &o.VMs[i]
		if vm.Model != model || vm.State != VMServing {
			continue
		}
		total += speeds[vm.Class]
		if vm.Reclaimable {
			lost[vm.FailureDomain] += speeds[vm.Class]
		}
	}
	worst := 0.0
	for _, capacity := range lost {
		worst = math.Max(worst, capacity)
	}
	return total - worst
}

// Guards against fleets that fall below the need when a failure domain is lost,
// plans that never become stable, and plans with too many steps.
func TestPlansBecomeStableAndSurviveTheLossOfAnyDomain(t *testing.T) {
	for _, name := range []string{"portfolio", "calendar"} {
		doc := exampleDocument(t, name)
		rapid.Check(t, func(t *rapid.T) {
			g := NewWithT(t)
			o := newObservation(doc, 0, 0)
			for range 3 {
				tokens := rapid.Float64Range(100, 3500).Draw(t, "tokens")
				urgent := tokens * rapid.Float64Range(0, 0.5).Draw(t, "urgent")
				for i := range o.Demand {
					o.Demand[i].Tokens, o.Demand[i].Urgent = tokens, urgent
				}
				g.Expect(len(MakePlan(o).Steps)).To(BeNumerically("<=", 2*(maxStarts+maxDrains)+len(o.VMs)))
				g.Expect(applyUntilStable(o)).To(BeTrue())
				plan := MakePlan(o)
				g.Expect(plan.Short).To(BeZero())
				for _, m := range plan.Models {
					g.Expect(capacityAfterWorstLoss(o, m.Model)).To(BeNumerically(">=", m.Need.Capacity-capacitySlack))
				}
			}
		})
	}
}

// Guards against a fleet that falls below its need while it shrinks or changes
// model versions.
func TestDrainsAndVersionChangesKeepTheNeed(t *testing.T) {
	g := NewWithT(t)
	doc := exampleDocument(t, "calendar")
	o := newObservation(doc, 3000, 900)
	g.Expect(applyUntilStable(o)).To(BeTrue())
	for i := range o.Models {
		o.Models[i].Version = "next"
		o.Demand[i].Tokens = 1500
	}
	for range 40 {
		plan := MakePlan(o)
		for _, m := range plan.Models {
			away := 0.0
			for _, step := range plan.Steps {
				if vm := findVM(o, step.VM); step.Model == m.Model && vm != nil && vm.State == VMServing {
					away += newServingCapacity(o, &m).capacityOf(vm)
				}
			}
			g.Expect(newServingCapacity(o, &m).total - away).To(BeNumerically(">=", m.Need.Capacity-capacitySlack))
		}
		applySteps(o, plan)
	}
	for i := range o.VMs {
		g.Expect(o.VMs[i].Version).To(Equal("next"))
	}
}

// Guards against a planner that keeps requesting VMs from a pool that refuses
// starts.
func TestRefusedPoolsAreLeftOutAndTheNextCheapestIsUsed(t *testing.T) {
	g := NewWithT(t)
	o := newObservation(exampleDocument(t, "portfolio"), 1500, 300)
	first := MakePlan(o)
	refused := first.Steps[0].Pool
	o.Backoff.Refused(refused, o.Now)
	for _, step := range MakePlan(o).Steps {
		g.Expect(step.Pool).NotTo(Equal(refused))
	}
	g.Expect(MakePlan(o).Short).To(BeZero())
	o.Now = o.Now.Add(backoffBase)
	g.Expect(MakePlan(o).Steps[0].Pool).To(Equal(refused))
}

// Guards against VMs that are never stopped after their model was removed from
// the document.
func TestVMsOfRemovedModelsAreDrained(t *testing.T) {
	g := NewWithT(t)
	o := newObservation(exampleDocument(t, "portfolio"), 1500, 300)
	g.Expect(applyUntilStable(o)).To(BeTrue())
	o.Models = o.Models[:1]
	g.Expect(applyUntilStable(o)).To(BeTrue())
	for i := range o.VMs {
		g.Expect(o.VMs[i].Model).To(Equal(o.Models[0].Name))
	}
}

// Guards against more model loads than the weight store can deliver.
func TestLoadsAreLimitedByTheWeightStore(t *testing.T) {
	g := NewWithT(t)
	o := newObservation(exampleDocument(t, "portfolio"), 3000, 300)
	applySteps(o, MakePlan(o))
	limit := int64(float64(o.Fleet.WeightStoreBytesPerS) * loadHorizon.Seconds())
	var bytes int64
	for _, step := range MakePlan(o).Steps {
		if step.Kind == StepLoad {
			bytes += findModel(o, step.Model).WeightBytes
		}
	}
	g.Expect(bytes).To(And(BeNumerically(">", 0), BeNumerically("<=", limit)))
}

// setScriptedHour sets the demand and the prices of one hour of the scripted day.
// The demand varies over the day, and so do the reclaimable prices. From 17:00 to
// 22:00 the reclaimable prices of the first failure domain are three times the
// listed ones.
func setScriptedHour(o *Observation, hour int) {
	phase := 2 * math.Pi * float64(hour-14) / 24
	tokens := 1600 + 1200*math.Cos(phase)
	for i := range o.Demand {
		o.Demand[i].Tokens = tokens
		o.Demand[i].Urgent = 0.25 * tokens
	}
	o.Prices = map[Pool]float64{}
	for at, domain := range o.Fleet.Domains {
		factor := 1 + 0.15*math.Sin(float64(hour+5*at))
		if at == 0 && hour >= 17 && hour < 22 {
			factor = 3
		}
		for _, class := range domain.Classes {
			o.Prices[Pool{FailureDomain: domain.FailureDomain, Class: class.Class, Reclaimable: true}] = class.Reclaimable * factor
		}
	}
}

// Guards against plans that are too expensive. Over the scripted day the price
// must be at most 1.1 times the lower bound for allocations of whole VMs.
func TestPriceDayCost(t *testing.T) {
	for _, name := range []string{"portfolio", "calendar"} {
		g := NewWithT(t)
		doc := exampleDocument(t, name)
		o := newObservation(doc, 0, 0)
		planned, least, onDemand := 0.0, 0.0, 0.0
		for hour := range 24 {
			setScriptedHour(o, hour)
			g.Expect(applyUntilStable(o)).To(BeTrue())
			planned += MakePlan(o).Price
			onDemand += allOnDemand(o)
			// For the bound, each model may use all VMs of all pools. That can only
			// lower the bound.
			empty := *o
			empty.VMs = nil
			for i := range o.Models {
				least += leastCost(offersFor(&empty, &o.Models[i], freeVMs(&empty)), needFor(o, &o.Models[i]))
			}
		}
		t.Logf("%s: %.2f planned, %.2f least, %.2f all on demand, %.1f%% of the least", name, planned, least, onDemand, 100*planned/least)
		g.Expect(planned).To(BeNumerically("<=", 1.1*least))
	}
}

// allOnDemand returns the price per hour of an allocation without reclaimable
// VMs. No failure domain can then be lost.
func allOnDemand(o *Observation) float64 {
	free := freeVMs(o)
	price := 0.0
	for i := range o.Models {
		offers := offersFor(o, &o.Models[i], free)
		for at := range offers {
			offers[at].Have = 0
			if offers[at].Reclaimable {
				offers[at].Max = 0
			}
		}
		price += Solve(offers, needFor(o, &o.Models[i])).Price
	}
	return price
}

// BenchmarkPlanAtTargetSize plans 2,300 endpoints in 12 failure domains.
func BenchmarkPlanAtTargetSize(b *testing.B) {
	doc := exampleDocument(b, "portfolio")
	template := doc.Fleet.Domains[0]
	doc.Fleet.Domains = nil
	for d := range 12 {
		domain := template
		domain.FailureDomain = "d" + strconv.Itoa(d)
		domain.Classes = append([]conf.ClassPrice(nil), template.Classes...)
		for c := range domain.Classes {
			domain.Classes[c].MaxVMs = 200
		}
		doc.Fleet.Domains = append(doc.Fleet.Domains, domain)
	}
	o := newObservation(doc, 560_000, 140_000)
	for range 400 {
		plan := MakePlan(o)
		if len(plan.Steps) == 0 {
			break
		}
		applySteps(o, plan)
	}
	for b.Loop() {
		MakePlan(o)
	}
	b.ReportMetric(float64(len(o.VMs)), "VMs")
}
