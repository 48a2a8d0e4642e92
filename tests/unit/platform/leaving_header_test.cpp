#include "platform/platform_entry_adapter.hpp"
#include "tests/unit/http/http_fixture.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <string>

using namespace bilberrylead;
using namespace bilberrylead::http;

// Guards against an adapter that does not pass on what the platform's upstreams
// say about leaving.
Test(leaving_header, upstream_that_says_it_leaves_gets_no_further_request)
{
    for (std::string const name :
         {"Server-Leaving", "Bilberrylead-Server-Leaving"})
    {
        std::atomic<int> requests = 0;
        std::string const answer = whole_answer_text(
            "left", name + ": 1\r\nBilberrylead-Response-Signature: s\r\n");
        fake_upstream leaving(
            [&requests, &answer](wire& connection, int)
            {
                while (connection.request())
                {
                    ++requests;
                    connection.send(answer);
                }
            });
        server_settings settings;
        settings.names = platform::platform_entry_adapter::names();
        running_server entry(settings);
        entry.configure({leaving.port()});
        std::string const request =
            get("/s/1", "Bilberrylead-Attempt-Id: 1\r\n");
        cr_assert_eq(entry.ask(request)->result_int(), 200);
        cr_expect_eq(entry.ask(request)->result_int(), 503);
        cr_expect_eq(requests.load(), 1, "%s", name.c_str());
    }
}
