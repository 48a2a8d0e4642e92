#include "bilberrylead/daemon/message_memory.hpp"

#include "tests/unit/store/journal_fixture.hpp"

#include <criterion/criterion.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <optional>

using namespace bilberrylead;
using namespace bilberrylead::tests;
using namespace std::chrono_literals;
using bilberrylead::daemon::message_memory;
using bilberrylead::daemon::remembered_listing;
using bilberrylead::daemon::remembered_plan;
using bilberrylead::discovery::list_changes;

namespace
{

instant const start = instant{} + 1h;

list_changes whole_listing()
{
    list_changes whole;
    whole.is_full = true;
    whole.target = {7, 3};
    whole.put.emplace_back();
    whole.put.back().upstream.id = upstream_id("a");
    whole.put.back().upstream.service = service_id("s");
    whole.put.back().upstream.zone = zone_id("z");
    whole.put.back().upstream.address = {"127.0.0.1", 80};
    return whole;
}

/// A memory in a folder of its own that is told a listing.
struct kept_listing
{
    kept_listing()
    {
        std::filesystem::create_directories(this->folder.data());
    }

    /// Writes the listing and waits until that has ended, well or not.
    void write(instant when)
    {
        this->memory->note_change();
        cr_assert(this->memory->wants_message(when));
        this->memory->remember(link::upstream_update{whole_listing()}, when);
        this->context.restart();
        boost::asio::executor_work_guard<
            boost::asio::io_context::executor_type> const guard =
            boost::asio::make_work_guard(this->context);
        this->context.run_one();
    }

    /// What another process finds in the folder.
    std::optional<list_changes> found_later()
    {
        std::optional<link::message> const found =
            message_memory(this->context, this->folder.data(),
                           remembered_listing)
                .recall();
        return found.has_value()
                   ? std::optional(
                         std::get<link::upstream_update>(*found).changes)
                   : std::nullopt;
    }

    temporary_folder folder;
    boost::asio::io_context context;
    std::optional<message_memory> memory{
        std::in_place, this->context, this->folder.data(), remembered_listing};
};

} // namespace

Test(message_memory, listing_when_remembered_is_found_by_the_next_process)
{
    kept_listing kept;
    cr_expect_not(kept.found_later().has_value(), "nothing was written yet");
    kept.write(start);
    std::optional<list_changes> const found = kept.found_later();
    cr_assert(found.has_value());
    cr_expect(found->is_full);
    cr_expect(found->target == whole_listing().target);
    cr_assert_eq(found->put.size(), 1U);
    cr_expect(found->put.front().upstream == whole_listing().put[0].upstream);
}

Test(message_memory, changes_when_frequent_are_written_once_a_second)
{
    kept_listing kept;
    kept.write(start);
    kept.memory->note_change();
    cr_expect_not(kept.memory->wants_message(start + 500ms));
    cr_expect(kept.memory->wants_message(start + 1s));
}

// A power loss tears the file. The host comes back without a listing, as if
// none was kept, and reads the list; it does not fail or use half of one.
Test(message_memory, file_when_torn_counts_as_none)
{
    kept_listing kept;
    kept.write(start);
    std::filesystem::path const path = kept.folder.data() / "listing";
    std::uintmax_t const size = std::filesystem::file_size(path);
    for (std::uintmax_t left = 0; left < size; left += 7)
    {
        std::filesystem::resize_file(path, left);
        cr_expect_not(kept.found_later().has_value());
        kept.write(start + std::chrono::seconds(left + 1));
    }
    std::fstream(path, std::ios::in | std::ios::out).seekp(40).put('\0');
    cr_expect_not(kept.found_later().has_value(), "one byte is another");
}

// The disk takes no writes for a while: callers notice nothing, and the next
// change is remembered.
Test(message_memory, disk_when_it_failed_is_tried_with_the_next_change)
{
    kept_listing kept;
    std::filesystem::remove_all(kept.folder.data());
    kept.write(start);
    cr_expect_not(kept.found_later().has_value());
    std::filesystem::create_directories(kept.folder.data());
    kept.write(start + 2s);
    cr_expect(kept.found_later().has_value());
}

// A listing was copied to where the plan is expected. It is not taken for one.
Test(message_memory, file_of_another_kind_counts_as_none)
{
    kept_listing kept;
    kept.write(start);
    std::filesystem::copy_file(kept.folder.data() / "listing",
                               kept.folder.data() / "plan");
    cr_expect_not(
        message_memory(kept.context, kept.folder.data(), remembered_plan)
            .recall()
            .has_value());
}
