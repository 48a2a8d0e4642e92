#include "fake_disk.hpp"

#include <algorithm>

namespace bilberrylead::agreement::tests
{

void fake_disk::write(effect const& write)
{
    this->unsynced.push_back(write);
}

void fake_disk::sync()
{
    this->crash(this->unsynced.size());
}

void fake_disk::crash(std::size_t kept)
{
    for (std::size_t write_index = 0; write_index < kept; ++write_index)
    {
        this->make_durable(this->unsynced.at(write_index));
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

void fake_disk::make_durable(effect const& write)
{
    if (persist_hard_state const* const next =
            std::get_if<persist_hard_state>(&write))
    {
        this->durable.hard_state = next->state;
    }
    else if (append_entries const* const added =
                 std::get_if<append_entries>(&write))
    {
        this->truncate_and_append(*added);
    }
    else if (persist_snapshot const* const persisted =
                 std::get_if<persist_snapshot>(&write))
    {
        this->durable.snapshot = persisted->snapshot;
        if (persisted->discard_log)
        {
            this->durable.entries.clear();
        }
    }
    else if (drop_log_prefix const* const dropped =
                 std::get_if<drop_log_prefix>(&write))
    {
        std::erase_if(this->durable.entries,
                      [dropped](log_entry const& one)
                      {
                          return one.index <= dropped->through_index;
                      });
    }
}

void fake_disk::truncate_and_append(append_entries const& added)
{
    std::vector<log_entry>& entries = this->durable.entries;
    std::erase_if(entries,
                  [&added](log_entry const& one)
                  {
                      return one.index >= added.from_index;
                  });
    entries.insert(entries.end(), added.entries.begin(), added.entries.end());
}

} // namespace bilberrylead::agreement::tests
