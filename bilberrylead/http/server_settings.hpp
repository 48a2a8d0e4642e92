#ifndef BILBERRYLEAD_HTTP_SERVER_SETTINGS_HPP
#define BILBERRYLEAD_HTTP_SERVER_SETTINGS_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/config/pipelining_limits.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/entry/entry_settings.hpp"
#include "bilberrylead/http/header_names.hpp"
#include "bilberrylead/http/pool_settings.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace bilberrylead::http
{

/// How an entry host serves callers.
struct server_settings
{
    /// Where callers connect; port 0 takes a free one.
    config::endpoint listen{"127.0.0.1", 0};
    /// Starts every request id this process gives out. Must differ from
    /// every other process's and from this host's earlier ones, so name and
    /// time of start belong in it.
    std::string request_id_prefix = "entry-";
    /// What the decisions go by.
    entry::entry_settings entry;
    /// How connections to upstreams are kept.
    pool_settings pool;
    /// How callers and upstreams name headers.
    header_names names;
    /// True if this port also serves readiness and steering pages, in the
    /// product's own form; false if all paths belong to callers' requests.
    bool own_pages = true;
    /// A caller's connection without a request is closed after this. Longer
    /// than the idle limits of usual clients, so that they close first.
    duration idle_timeout = std::chrono::seconds(75);
    /// A request's head must be whole this long after its first byte.
    duration head_timeout = std::chrono::seconds(5);
    /// Each piece of a request's body must come within this.
    duration body_timeout = std::chrono::seconds(10);
    /// A caller must take each piece of its answer within this; 16 KiB in
    /// 30 s is slower than any line a caller would use.
    duration write_timeout = std::chrono::seconds(30);
    /// Largest head of a request, bytes.
    std::size_t largest_head = std::size_t{16} << 10U;
    /// Bodies up to this are kept whole before the request is admitted, so
    /// that a slow sender holds no slot and another try is possible, bytes.
    std::size_t kept_body = std::size_t{64} << 10U;
    /// Rate of the host's link each way, bytes a second; 0: not known, so
    /// that long answers are not paced.
    double link_rate = 0;
    /// How far it works ahead on one caller connection.
    config::pipelining_limits pipelining;
    /// One piece of a body that is passed on, bytes.
    std::size_t piece = std::size_t{16} << 10U;
    /// Largest answer of guarded work that its caller can be given, bytes.
    std::size_t largest_collected = std::size_t{256} << 10U;
    /// Largest body that goes into a record, bytes.
    std::size_t largest_recorded = std::size_t{64} << 10U;
    /// All bodies and pieces held at one time, bytes.
    std::size_t memory = std::size_t{192} << 20U;
    /// Callers' connections; one more is closed at once.
    std::size_t largest_connections = 20000;
    /// Of so many plain successes one gets a log line; at least 1. At the
    /// largest known load of an entry host that is a line a second.
    std::size_t success_sample = 64;
    /// How long the rest of a refused request is read and thrown away, so
    /// that its sender sees the answer and not a reset.
    duration linger = std::chrono::seconds(1);
};

} // namespace bilberrylead::http

#endif
