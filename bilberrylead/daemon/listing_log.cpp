#include "bilberrylead/daemon/listing_log.hpp"

#include "bilberrylead/control/control_effect.hpp"
#include "bilberrylead/core/log.hpp"
#include "bilberrylead/core/log_line.hpp"
#include "bilberrylead/daemon/delivery_fields.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <string>

namespace bilberrylead::daemon
{

namespace
{

constexpr part_log log{"control"};

std::string text_of(discovery::list_position const& position)
{
    return fmt::format("{}.{}", position.term, position.number);
}

} // namespace

void log_listing(control::listing_changed const& listing)
{
    log.info("Listing {} of upstreams is held: {} new or changed, {} gone, {} "
             "in all.",
             text_of(listing.position), listing.put, listing.removed,
             listing.upstreams);
    if (listing.max_age.has_value())
    {
        log_line("control", "listing_read")
            .text("listing", text_of(listing.position))
            .time("max_age_ms", *listing.max_age)
            .number("put", static_cast<std::int64_t>(listing.put))
            .number("removed", static_cast<std::int64_t>(listing.removed))
            .write();
    }
}

void log_delivery(discovery::listing_delivery_report const& report)
{
    log_line line("control", "listing_delivered");
    line.text("listing", text_of(report.position));
    add_delivery(line, report).write();
}

} // namespace bilberrylead::daemon
