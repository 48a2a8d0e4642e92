#ifndef BILBERRYLEAD_LOAD_LOAD_PROFILE_HPP
#define BILBERRYLEAD_LOAD_LOAD_PROFILE_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrylead::load
{

/// One kind of request in the mix.
struct request_kind
{
    /// Its name in reports.
    std::string name;
    /// The service that is asked.
    service_id service;
    /// The group of callers that send it.
    std::string callers;
    /// Its share of all requests against the other kinds'.
    std::uint32_t weight = 1;
    /// What follows /SERVICE in the path.
    std::string path = "/find";
    /// Length of the request's body; 0 sends a GET, else a POST.
    std::size_t request_bytes = 0;
    /// Length of the answer's body.
    std::uint64_t answer_bytes = 512;
    /// When the caller needs the answer, and the deadline header.
    duration deadline = std::chrono::seconds(2);
    /// True: a caller without an answer sends it again.
    bool idempotent = true;
    /// True: it carries an Idempotency-Key, and a caller without an answer
    /// sends it again with the same key.
    bool guarded = false;
    /// Share of guarded requests that are sent a second time although the
    /// first was answered, in hundredths.
    std::uint32_t resend_percent = 0;

    friend bool operator==(request_kind const&, request_kind const&) = default;
};

/// A group of callers that look alike.
struct caller_group
{
    /// Its name.
    std::string name;
    /// Addresses they send from, for example 127.1.1.0/24; empty leaves it
    /// to the system.
    std::string source_block;
    /// How many callers.
    std::uint32_t callers = 100;
    /// How many of them are heavy.
    std::uint32_t heavy_callers = 0;
    /// Share of the group's requests that the heavy ones send.
    std::uint32_t heavy_percent = 0;

    friend bool operator==(caller_group const&, caller_group const&) = default;
};

/// A customer whose key requests carry.
struct customer_share
{
    /// Its key.
    std::string key;
    /// Its share of all requests against the other customers'.
    std::uint32_t weight = 1;

    friend bool operator==(customer_share const&,
                           customer_share const&) = default;
};

/// A time with another rate.
struct load_burst
{
    /// When it starts, from the run's start.
    duration start{};
    /// How long it lasts.
    duration length{};
    /// Rate against usual, in hundredths.
    std::uint32_t rate_percent = 100;

    friend bool operator==(load_burst const&, load_burst const&) = default;
};

/// What callers do in one run.
struct load_profile
{
    /// Requests a second outside bursts.
    std::uint32_t rate_per_s = 100;
    /// How long requests are started.
    duration length = std::chrono::seconds(10);
    /// Seed of arrivals, mix and callers.
    std::uint64_t seed = 1;
    /// Share of requests that may use and leave an open connection.
    std::uint32_t keep_alive_percent = 100;
    /// Share of "not run" answers after which the caller comes back.
    std::uint32_t come_back_percent = 80;
    /// How often one request comes back.
    std::uint32_t most_come_backs = 2;
    /// Requests that may be unanswered on one connection: idempotent ones
    /// without a body are sent before the earlier ones are answered. 1: none.
    std::uint32_t pipeline_depth = 1;
    /// The mix; at least one.
    std::vector<request_kind> requests;
    /// Who sends; at least one.
    std::vector<caller_group> callers;
    /// Customers whose keys the requests carry; none: no keys.
    std::vector<customer_share> customers;
    /// Times with another rate; they may overlap.
    std::vector<load_burst> bursts;

    friend bool operator==(load_profile const&, load_profile const&) = default;
};

/// Reads a profile from JSON with comments and checks it whole; errors as
/// in config::parse_configuration.
absl::StatusOr<load_profile> parse_load_profile(std::string_view text,
                                                std::string_view source_name);

} // namespace bilberrylead::load

#endif
