package main

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// table prints rows in aligned columns. The caller must call flush after the last row.
type table struct{ writer *tabwriter.Writer }

func (a *app) newTable() *table {
	return &table{writer: tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)}
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() { _ = t.writer.Flush() }
