package quorum_test

import (
	"testing"

	"github.com/boragelead/boragelead/internal/core/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }
