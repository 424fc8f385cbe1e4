//! Reads JSON, and encodes the values of the store's items.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = String::from_utf8(bytes.to_vec()).ok()?;
        let characters: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&characters, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Table(entries) = self else { return None };
        entries.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(text: &[char], at: &mut usize) {
    while text.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(text: &[char], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        '{' => {
            let mut entries = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    '}' => break *at += 1,
                    ',' => *at += 1,
                    _ => {
                        let key = string(text, at)?;
                        skip(text, at);
                        *at += 1;
                        entries.push((key, value(text, at)?));
                    }
                }
            }
            Some(Json::Table(entries))
        }
        '[' => {
            let mut list = Vec::new();
            *at += 1;
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    ']' => break *at += 1,
                    ',' => *at += 1,
                    _ => list.push(value(text, at)?),
                }
            }
            Some(Json::List(list))
        }
        '"' => Some(Json::Text(string(text, at)?)),
        _ => {
            let start = *at;
            while text.get(*at).is_some_and(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
                *at += 1;
            }
            let word: String = text[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Number(1.0)),
                "false" => Some(Json::Number(0.0)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(text: &[char], at: &mut usize) -> Option<String> {
    let mut result = String::new();
    *at += 1;
    loop {
        let c = *text.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(result),
            '\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                result.push(match escaped {
                    'n' => '\n',
                    'r' => '\r',
                    't' => '\t',
                    'u' => {
                        let digits: String = text.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?
                    }
                    other => other,
                });
            }
            other => result.push(other),
        }
    }
}

/// Returns standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
