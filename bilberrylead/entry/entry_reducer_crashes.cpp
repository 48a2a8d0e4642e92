#include "bilberrylead/entry/entry_reducer.hpp"

#include <utility>

/// Requests under which upstreams end.
namespace bilberrylead::entry
{

void entry_reducer::on(crash_records_heard const& happened)
{
    policy::crash_merge merged =
        this->crashes.merge(happened.records, this->now);
    if (!merged.missing_there.empty())
    {
        this->out.push_back(
            tell_crash_records{std::move(merged.missing_there), happened.from});
    }
}

} // namespace bilberrylead::entry
