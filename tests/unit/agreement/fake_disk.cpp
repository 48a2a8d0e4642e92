#include "fake_disk.hpp"

#include <algorithm>

namespace bilberrylead::agreement::tests
{

void fake_disk::write(effect const& what)
{
    this->unsynced.push_back(what);
}

void fake_disk::sync()
{
    this->crash(this->unsynced.size());
}

void fake_disk::crash(std::size_t kept)
{
    for (std::size_t place = 0; place < kept; ++place)
    {
        this->make_durable(this->unsynced.at(place));
    }
    this->unsynced.clear();
}

void fake_disk::wipe()
{
    this->unsynced.clear();
    this->durable = started();
}

std::size_t fake_disk::unsynced_writes() const
{
    return this->unsynced.size();
}

started fake_disk::read() const
{
    return this->durable;
}

void fake_disk::make_durable(effect const& what)
{
    if (persist_hard_state const* const next =
            std::get_if<persist_hard_state>(&what))
    {
        this->durable.hard_state = next->state;
    }
    else if (append_entries const* const added =
                 std::get_if<append_entries>(&what))
    {
        this->cut_and_append(*added);
    }
    else if (persist_snapshot const* const taken =
                 std::get_if<persist_snapshot>(&what))
    {
        this->durable.snapshot = taken->snapshot;
        if (taken->discard_log)
        {
            this->durable.entries.clear();
        }
    }
    else if (drop_log_prefix const* const dropped =
                 std::get_if<drop_log_prefix>(&what))
    {
        std::erase_if(this->durable.entries,
                      [dropped](log_entry const& one)
                      {
                          return one.index <= dropped->through_index;
                      });
    }
}

void fake_disk::cut_and_append(append_entries const& what)
{
    std::vector<log_entry>& entries = this->durable.entries;
    std::erase_if(entries,
                  [&what](log_entry const& one)
                  {
                      return one.index >= what.from_index;
                  });
    entries.insert(entries.end(), what.entries.begin(), what.entries.end());
}

} // namespace bilberrylead::agreement::tests
