#ifndef BILBERRYLEAD_TESTS_ONCE_ONCE_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_ONCE_ONCE_FIXTURE_HPP

#include "bilberrylead/once/once_records.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace bilberrylead::tests
{

inline once::claim_key key_of(std::string const& key,
                              std::string const& caller = "acme")
{
    return {service_id("grants"), caller_id(caller), key};
}

inline once::claim claim_of(std::string const& key, std::string const& request,
                            std::string const& host = "e1",
                            std::uint64_t incarnation = 1,
                            std::uint64_t digest = 7)
{
    return {key_of(key), digest, request_id(request), host_id(host),
            incarnation};
}

inline once::recorded_answer answer_of(std::string const& text)
{
    return {200, "text/plain", bytes(text.begin(), text.end()), false};
}

inline once::complete complete_of(std::string const& key,
                                  std::string const& request)
{
    return {key_of(key), request_id(request), answer_of("by " + request)};
}

inline once::release release_of(std::string const& key,
                                std::string const& request)
{
    return {key_of(key), request_id(request)};
}

inline once::mark_unknown unknown_of(std::string const& key,
                                     std::string const& request)
{
    return {key_of(key), request_id(request)};
}

template <class Verdict>
bool is(once::claim_verdict const& verdict)
{
    return std::holds_alternative<Verdict>(verdict);
}

inline bool is_refused(once::claim_verdict const& verdict,
                       once::claim_refusal reason)
{
    once::claim_refused const* const refused =
        std::get_if<once::claim_refused>(&verdict);
    return refused != nullptr && refused->reason == reason;
}

/// Advances the log time in steps that are short enough to count in full.
inline void advance_log_time(once::once_records& records, duration time)
{
    duration const step = std::chrono::seconds(1);
    for (duration elapsed{}; elapsed < time; elapsed += step)
    {
        records.apply(once::advance_time{std::min(step, time - elapsed)});
    }
}

} // namespace bilberrylead::tests

#endif
