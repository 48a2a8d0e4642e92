#ifndef BILBERRYLEAD_LOAD_RUN_COUNTS_HPP
#define BILBERRYLEAD_LOAD_RUN_COUNTS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bilberrylead::load
{

/// How often each piece of work was started, as upstreams saw it. Kept for
/// the whole run: it is what promises are checked against.
struct run_counts
{
    /// Runs by the caller's request id.
    std::unordered_map<std::string, std::uint32_t> requests;
    /// Runs by Idempotency-Key.
    std::unordered_map<std::string, std::uint32_t> keys;

    /// Counts one run; an empty name counts nothing.
    void add(std::string_view request, std::string_view key);

    /// Adds another upstream's counts.
    void merge(run_counts const& other);

    friend bool operator==(run_counts const&, run_counts const&) = default;
};

/// {"requests":{"id":n},"keys":{"key":n}}.
std::string render_run_counts(run_counts const& value);

/// Adds counts in render_run_counts' form; false if the text is not that.
bool merge_run_counts(std::string_view text, run_counts& into);

} // namespace bilberrylead::load

#endif
