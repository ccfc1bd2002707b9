//! Spans of a request, one for each hop.
