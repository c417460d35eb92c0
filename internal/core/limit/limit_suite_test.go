package limit

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func TestLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limit")
}

var epoch = time.Unix(1000, 0)
