// Uses the installed libraries as another project would: parses a request id and validates
// declarations. Guards against headers, libraries or link dependencies missing from the package.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <fuchsiaproxy/model/json.hpp>
#include <fuchsiaproxy/model/validate.hpp>
#include <fuchsiaproxy/requests/request_id.hpp>

namespace
{

using namespace fuchsiaproxy;

bool parses_request_ids()
{
    std::string const text = "v1.harju-a-1.17.harju-b-1.18.3.n1";
    auto const id = requests::parse_request_id(text);
    return id && requests::to_text(id.value()) == text &&
           id.value().issued.primary.instance.value() == "harju-a-1" &&
           !requests::parse_request_id("v1.harju-a-1");
}

base::result<void> validate_files(int count, char** paths)
{
    std::vector<model::named_document> documents;
    for (int n = 0; n < count; ++n)
    {
        std::ifstream in(paths[n]);
        documents.push_back({paths[n], std::string(std::istreambuf_iterator<char>(in), {})});
    }
    auto const parsed = model::parse_declarations(documents);
    if (!parsed)
    {
        return parsed.error();
    }
    return model::validate(parsed.value());
}

} // namespace

// usage: consumer DECLARATION...
int main(int argc, char** argv)
{
    if (!parses_request_ids())
    {
        std::cerr << "consumer: a parsed request id differs from its text\n";
        return EXIT_FAILURE;
    }
    auto const valid = validate_files(argc - 1, argv + 1);
    if (!valid)
    {
        std::cerr << "consumer: " << valid.error().message << "\n";
        return EXIT_FAILURE;
    }
    std::cout << "consumer: request id parsed, " << argc - 1 << " declaration files valid\n";
    return EXIT_SUCCESS;
}
