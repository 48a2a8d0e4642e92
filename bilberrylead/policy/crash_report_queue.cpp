#include "bilberrylead/policy/crash_report_queue.hpp"

#include <utility>

namespace bilberrylead::policy
{

void crash_report_queue::add(std::vector<crash_record> const& changed)
{
    for (crash_record const& each : changed)
    {
        this->unsent.insert_or_assign(each.digest, each);
    }
}

std::vector<crash_record> crash_report_queue::take_due(instant now)
{
    std::vector<crash_record> records;
    if (this->unsent.empty() || now < this->due_at)
    {
        return records;
    }
    this->due_at = now + interval;
    records.reserve(this->unsent.size());
    for (auto& [digest, record] : this->unsent)
    {
        records.push_back(std::move(record));
    }
    this->unsent.clear();
    return records;
}

} // namespace bilberrylead::policy
