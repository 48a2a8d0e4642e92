#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_CLAIM_RECORDER_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_CLAIM_RECORDER_HPP

#include "tests/unit/http/http_fixture.hpp"

#include <atomic>
#include <variant>

namespace bilberrylead::http
{

/// Stands for the records of work that runs at most once: grants each claim of
/// an entry host, and counts what the entry host reports of it.
class claim_recorder
{
public:
    /// Takes the outside effects of `entry`, which must not outlive this.
    void serve(running_server& entry)
    {
        entry.outside = [this, &entry](entry::effect const& decided)
        {
            this->take(entry, decided);
        };
    }

    /// Answers that were recorded.
    std::atomic<int> recorded = 0;
    /// Claims whose outcome is unknown.
    std::atomic<int> unknown = 0;

private:
    void take(running_server& entry, entry::effect const& decided)
    {
        if (entry::request_claim const* claim =
                std::get_if<entry::request_claim>(&decided))
        {
            entry.server->dispatch(
                entry::claim_answered{claim->request, once::claim_granted{}});
        }
        else if (entry::report_completion const* completion =
                     std::get_if<entry::report_completion>(&decided))
        {
            ++this->recorded;
            entry.server->dispatch(
                entry::completion_stored{completion->request});
        }
        else if (std::holds_alternative<entry::report_unknown>(decided))
        {
            ++this->unknown;
        }
    }
};

} // namespace bilberrylead::http

#endif
