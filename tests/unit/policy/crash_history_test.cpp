#include "bilberrylead/policy/crash_history.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;
using policy::crash_history;
using policy::crash_merge;
using policy::crash_record;
using policy::crash_verdict;

namespace
{

instant const start = instant{} + 1h;
constexpr std::uint64_t request = 7;

upstream_id upstream(char const* name)
{
    return upstream_id(name);
}

/// A history in which these upstreams ended while they ran one request.
crash_history history_of(std::vector<char const*> const& ended)
{
    crash_history history;
    for (char const* const name : ended)
    {
        history.record_crash(request, upstream(name), start, start);
    }
    return history;
}

} // namespace

Test(crash_history, requests_are_refused_after_three_upstreams)
{
    cr_expect(history_of({}).verdict_of(request) ==
              crash_verdict::unrestricted);
    cr_expect(history_of({"a"}).verdict_of(request) ==
              crash_verdict::unrestricted);
    cr_expect(history_of({"a", "b"}).verdict_of(request) ==
              crash_verdict::restricted);
    cr_expect(history_of({"a", "b", "c"}).verdict_of(request) ==
              crash_verdict::refused);
}

// Guards against counting one crash once for each host that observed it.
Test(crash_history, one_upstream_counts_once)
{
    crash_history history = history_of({"a", "a", "a"});
    history.merge({{request, 0, {upstream("a")}}}, start);
    cr_expect(history.verdict_of(request) == crash_verdict::unrestricted);
}

// Guards against a request that ends the same few upstreams for ever, since
// they start again under their ids.
Test(crash_history, each_incarnation_of_an_upstream_counts)
{
    crash_history history = history_of({"a", "b"});
    cr_expect(
        history.record_crash(request, upstream("a"), start + 1s, start + 2s)
            .has_value());
    cr_expect(history.verdict_of(request) == crash_verdict::refused);
}

// Guards against counting one crash twice, since another host saw it too and a
// third one heard of it before it lost its own request.
Test(crash_history, end_that_is_known_counts_once)
{
    crash_history history;
    history.merge({{request, 0, {upstream("a"), upstream("a")}}}, start);
    cr_expect(history.verdict_of(request) == crash_verdict::restricted);
    cr_expect_not(
        history.record_crash(request, upstream("a"), start - 1ms, start + 1s)
            .has_value());
    history.merge({{request, 0, {upstream("a")}}}, start + 1s);
    cr_expect(history.verdict_of(request) == crash_verdict::restricted);
}

// Guards against refusing harmless requests because they ran concurrently with
// one that crashes upstreams.
Test(crash_history, complete_answer_clears_on_all_hosts)
{
    crash_history here = history_of({"a", "b"});
    crash_history there = history_of({"a", "b"});
    std::optional<crash_record> const cleared = here.clear(request, start);
    cr_assert(cleared.has_value());
    there.merge({*cleared}, start);
    // A record from before the answer arrives late.
    there.merge({{request, 0, {upstream("c")}}}, start);
    cr_expect(there.verdict_of(request) == crash_verdict::unrestricted);
    cr_expect(!here.clear(request, start).has_value());
}

Test(crash_history, merged_histories_agree_in_any_order)
{
    crash_history one = history_of({"a", "d"});
    crash_history other = history_of({"b", "c"});
    crash_merge const merged = other.merge(one.records(), start);
    cr_assert_eq(merged.missing_at_sender.size(), 1U);
    one.merge(merged.missing_at_sender, start);
    cr_expect(one.records() == other.records());
    cr_expect(one.verdict_of(request) == crash_verdict::refused);
    // No differences are left, so the exchange of messages ends.
    cr_expect(one.merge(other.records(), start).changed.empty());
    cr_expect(one.merge(other.records(), start).missing_at_sender.empty());
}

Test(crash_history, refused_request_is_kept_while_it_repeats)
{
    crash_history history = history_of({"a", "b", "c"});
    instant now = start;
    for (int hour = 0; hour < 4; ++hour)
    {
        now += 20min;
        history.record_repeat(request, now);
        history.expire(now);
        cr_expect(history.verdict_of(request) == crash_verdict::refused);
    }
    history.expire(now + 30min);
    cr_expect_eq(history.size(), 0U);
}

// Guards against a caller whose many requests evict the one that crashes
// upstreams, and against hosts that exchange evicted records for ever.
Test(crash_history, full_history_keeps_refused_requests)
{
    policy::crash_history_settings settings;
    settings.max_records = 4;
    crash_history history(settings);
    for (char const* const name : {"a", "b", "c"})
    {
        history.record_crash(request, upstream(name), start, start);
    }
    for (std::uint64_t other = 100; other < 200; ++other)
    {
        history.record_crash(other, upstream("a"), start + 1s, start + 1s);
    }
    cr_expect_eq(history.size(), 4U);
    cr_expect_eq(history.evicted_count(), 97U);
    cr_expect(history.verdict_of(request) == crash_verdict::refused);
    crash_merge const merged =
        history.merge({{300, 0, {upstream("a")}}}, start + 2s);
    cr_expect(merged.changed.empty());
    cr_expect_eq(history.size(), 4U);
}
