// Package printer writes listings as tables, tab-separated lines or JSON with a filter.
package printer
