#include "bilberrylead/ctl/accepted_configuration.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/ctl/operator_client.hpp"
#include "bilberrylead/ctl/report.hpp"

namespace bilberrylead::ctl
{

absl::StatusOr<accepted_configuration> fetch_accepted(operator_client& client)
{
    absl::StatusOr<operator_answer> const answer =
        client.ask("GET", "/v1/configuration");
    if (!answer.ok())
    {
        return answer.status();
    }
    absl::StatusOr<nlohmann::json> const body = body_of(*answer);
    if (!body.ok())
    {
        return body.status();
    }
    if (!body->contains("revision"))
    {
        return make_error(error_kind::no_quorum, body->value("message", ""),
                          "Try again.");
    }
    return accepted_configuration{body->value("revision", std::uint64_t{0}),
                                  body->value("document", "")};
}

} // namespace bilberrylead::ctl
