#include <Cyclamenstair/Transport/TlsIdentity.h>

#include <cstdio>
#include <openssl/pem.h>
#include <openssl/ssl.h>

namespace cyclamenstair {

namespace {

    /// Deleter for std::unique_ptr that calls a C function such as X509_free.
    template <auto function> struct FunctionDeleter {
        template <typename Object> void operator()(Object* object) const { function(object); }
    };

    using Certificate = std::unique_ptr<X509, FunctionDeleter<X509_free>>;
    using PrivateKey = std::unique_ptr<EVP_PKEY, FunctionDeleter<EVP_PKEY_free>>;
    using File = std::unique_ptr<FILE, FunctionDeleter<fclose>>;

} // namespace

struct TlsIdentity::Material {
    Certificate certificate;
    PrivateKey key;
};

Result<std::unique_ptr<TlsIdentity>> TlsIdentity::create(const std::string& certificatePath, const std::string& keyPath)
{
    std::unique_ptr<TlsIdentity> identity(new TlsIdentity(certificatePath, keyPath));
    if (auto error = identity->reload())
        return *error;
    return identity;
}

TlsIdentity::TlsIdentity(std::string certificatePath, std::string keyPath)
    : m_certificatePath(std::move(certificatePath))
    , m_keyPath(std::move(keyPath))
{
}

TlsIdentity::~TlsIdentity() = default;

std::optional<Error> TlsIdentity::reload()
{
    auto material = readMaterial();
    if (!material)
        return material.error();
    std::lock_guard lock(m_mutex);
    m_material = std::move(material).value();
    return std::nullopt;
}

Result<std::unique_ptr<TlsIdentity::Material>> TlsIdentity::readMaterial() const
{
    const auto failure = [](const std::string& path, const char* message) {
        return Error { ErrorKind::InvalidInput, "tls.read", path, message };
    };
    auto material = std::make_unique<Material>();
    const File certificateFile(std::fopen(m_certificatePath.c_str(), "r"));
    if (!certificateFile)
        return failure(m_certificatePath, "cannot open the certificate file");
    material->certificate.reset(PEM_read_X509(certificateFile.get(), nullptr, nullptr, nullptr));
    if (!material->certificate)
        return failure(m_certificatePath, "expected a PEM certificate in the file");
    const File keyFile(std::fopen(m_keyPath.c_str(), "r"));
    if (!keyFile)
        return failure(m_keyPath, "cannot open the private key file");
    material->key.reset(PEM_read_PrivateKey(keyFile.get(), nullptr, nullptr, nullptr));
    if (!material->key)
        return failure(m_keyPath, "expected a PEM private key in the file");
    if (X509_check_private_key(material->certificate.get(), material->key.get()) != 1)
        return failure(m_keyPath, "the private key does not belong to the certificate");
    return material;
}

void TlsIdentity::attachTo(SSL_CTX& context)
{
    SSL_CTX_set_min_proto_version(&context, TLS1_2_VERSION);
    SSL_CTX_set_cert_cb(
        &context,
        [](SSL* connection, void* identity) {
            return static_cast<TlsIdentity*>(identity)->applyTo(*connection) ? 1 : 0;
        },
        this);
}

bool TlsIdentity::applyTo(SSL& connection)
{
    std::lock_guard lock(m_mutex);
    return SSL_use_certificate(&connection, m_material->certificate.get()) == 1
        && SSL_use_PrivateKey(&connection, m_material->key.get()) == 1;
}

} // namespace cyclamenstair
