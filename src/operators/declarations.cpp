#include "fuchsiaproxy/operators/declarations.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <vector>

#include <boost/outcome/try.hpp>

#include "fuchsiaproxy/model/json.hpp"

namespace fuchsiaproxy::operators
{
namespace
{

namespace fs = std::filesystem;
using base::error_kind;
using base::make_error;

base::result<model::named_document> read_file(fs::path const& path)
{
    std::ifstream in(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in)
    {
        return make_error(error_kind::not_found, path.string() + ": expected a readable file");
    }
    return model::named_document{path.string(), std::move(text)};
}

} // namespace

base::result<model::configuration> load_declarations(std::string const& folder)
{
    std::error_code ec;
    std::vector<fs::path> files;
    for (fs::directory_iterator it(folder, ec); !ec && it != fs::directory_iterator();
         it.increment(ec))
    {
        if (it->path().extension() == ".json" && it->is_regular_file(ec))
        {
            files.push_back(it->path());
        }
    }
    if (ec || files.empty())
    {
        return make_error(error_kind::not_found,
                          folder + ": expected a folder with *.json files" +
                              (ec ? ", found: " + ec.message() : std::string(", found none")));
    }
    std::sort(files.begin(), files.end());
    std::vector<model::named_document> documents;
    for (auto const& it : files)
    {
        BOOST_OUTCOME_TRY(document, read_file(it));
        documents.push_back(std::move(document));
    }
    return model::parse_declarations(documents);
}

base::result<model::configuration> load_declaration_file(std::string const& file)
{
    BOOST_OUTCOME_TRY(document, read_file(file));
    return model::parse_declarations({std::move(document)});
}

} // namespace fuchsiaproxy::operators
