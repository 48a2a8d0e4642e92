#ifndef BILBERRYLEAD_HTTP_HEADER_NAMES_HPP
#define BILBERRYLEAD_HTTP_HEADER_NAMES_HPP

#include <string>
#include <vector>

namespace bilberrylead::http
{

/// How callers and upstreams name what this system reads and writes in
/// headers. The defaults are the product's own; an adapter has others. An
/// empty name stands for what the other side does not know.
struct header_names
{
    /// Milliseconds the sender still waits.
    std::string deadline = "Bilberry-Deadline-Ms";
    /// The caller's account.
    std::string caller = "Bilberry-Caller";
    /// The request's id, to the upstream and back.
    std::string request_id = "Bilberry-Request-Id";
    /// In an upstream's answer: nothing was run.
    std::string not_run = "Bilberry-Not-Run";
    /// Set to 1 by an upstream that is leaving, in any of its answers; under
    /// any of these names.
    std::vector<std::string> leaving = {"Bilberry-Leaving"};
    /// Names a piece of work that may run at most once.
    std::string key = "Idempotency-Key";
    /// "1": the caller sent this before and had no answer.
    std::string repeat = "Bilberry-Repeat";
    /// Names the object that a request is about.
    std::string object;
    /// Names the upstream that a request is for: any other one at its
    /// address turns it away with 421 and does not run it.
    std::string expected_upstream;
    /// An upstream's load: running, waiting, slots, and optionally the time
    /// that work takes at this moment in percent of the usual time.
    std::string load;
    /// Requests a second that an upstream takes from all entry hosts
    /// together, for as long as its answers say so. The first of these that
    /// an answer has counts.
    std::vector<std::string> limit = {"Bilberry-Limit"};
    /// The key that identifies the customer; never sent to an upstream.
    std::string customer_key = "Bilberry-Key";
    /// To the upstream: name of the customer that the key identifies.
    std::string customer = "Bilberry-Customer";
    /// To another entry host: set to 1 in a request that its sender cannot pass
    /// to any upstream itself. Never sent to an upstream.
    std::string relayed = "Bilberry-Relayed";
    /// To another entry host: the regions in which such a request may run,
    /// separated by commas. Never sent to an upstream.
    std::string relayed_regions = "Bilberry-Regions";
    /// To another entry host: the revision by which the route of such a request
    /// was found. Never sent to an upstream.
    std::string relayed_revision = "Bilberry-Revision";
    /// Stands in every successful answer of an upstream that is its own.
    std::string answer_mark;
    /// True if callers give each request its id; false if this system does.
    bool caller_names_request = false;
    /// True if "not run" needs status 503 and the value 1; false if the
    /// header says so by itself.
    bool not_run_needs_503 = true;
    /// True if Retry-After may have a fraction; false if it counts whole
    /// seconds.
    bool fractional_retry_after = false;
};

} // namespace bilberrylead::http

#endif
