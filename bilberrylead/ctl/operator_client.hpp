#ifndef BILBERRYLEAD_CTL_OPERATOR_CLIENT_HPP
#define BILBERRYLEAD_CTL_OPERATOR_CLIENT_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/core/time.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bilberrylead::ctl
{

/// How bilberryctl reaches the control hosts.
struct operator_client_settings
{
    /// Operator endpoints of the control hosts, asked in turn.
    std::vector<config::endpoint> control_hosts;
    /// The operator's key.
    std::string key;
    /// How long to go on asking, in all. Ten seconds cover an election and a
    /// lost connection with room to spare.
    duration patience = std::chrono::seconds(10);
    /// Longest wait for one host's answer before the next is asked; beyond
    /// an accepted change's two round trips between regions.
    duration answer_timeout = std::chrono::seconds(3);
    /// Pause after all hosts were asked in vain.
    duration pause = std::chrono::milliseconds(100);
};

/// A control host's answer.
struct operator_answer
{
    /// HTTP status.
    unsigned status = 0;
    /// The body, JSON.
    std::string body;
    /// Which host gave it, as an index into the settings' list.
    std::size_t host = 0;
    /// True if this request was sent before and may have been carried out
    /// without its outcome being received. Set by operator_client::ask; if no
    /// host gave an outcome, this answer's own sending counts too.
    bool outcome_was_lost = false;
};

/// Asks control hosts over HTTP, one after another, until one that can
/// answer does. Asking again is safe: a change carries its id, and gets its
/// first answer again.
class operator_client
{
public:
    /// Makes a client; it connects when asked.
    explicit operator_client(operator_client_settings settings);

    /// Asks until a host answers with something other than "not the leader"
    /// or "not now". Kind `timeout` or `connection` when patience ends; the
    /// message is the last host's.
    absl::StatusOr<operator_answer> ask(std::string const& method,
                                        std::string const& target,
                                        std::string const& body = {});

    /// Asks one host, once.
    absl::StatusOr<operator_answer> ask_one(std::size_t host,
                                            std::string const& method,
                                            std::string const& target,
                                            std::string const& body = {});

    /// How many hosts it knows.
    std::size_t host_count() const;

private:
    struct sending;

    sending send(std::size_t host, std::string const& method,
                 std::string const& target, std::string const& body);

    operator_client_settings settings;
    std::size_t first_host = 0;
};

} // namespace bilberrylead::ctl

#endif
